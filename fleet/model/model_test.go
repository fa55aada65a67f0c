package model

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that the verdict is the same every time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// depth is how many actions every sequence of the exhaustive check has after the
// prefix that each begins with.
const depth = 3

// move is an action of one host.
type move struct{ host, action int }

func (m move) String() string {
	return fmt.Sprintf("e%d %s", m.host+1, actions[m.action].name)
}

func play(hosts int, moves []move) error {
	w := newWorld(hosts)
	for _, m := range moves {
		actions[m.action].run(w, w.hosts[m.host])
		if w.fault != nil {
			break
		}
	}
	return w.check()
}

func describe(moves []move) string {
	parts := make([]string, len(moves))
	for i, m := range moves {
		parts[i] = m.String()
	}
	return strings.Join(parts, "; ")
}

func named(host int, name string) move {
	for i, a := range actions {
		if a.name == name {
			return move{host, i}
		}
	}
	panic(name)
}

// prefixes bring a world of two hosts to where the races are.
var prefixes = []struct {
	name  string
	moves []move
}{
	{"nobody holds", nil},
	{"e1 holds", []move{named(0, "claims"), named(1, "claims"), named(0, "reads"), named(1, "reads")}},
	{"e1 has decided and its term is nearly over", []move{
		named(0, "claims"), named(1, "claims"), named(0, "reads"), named(1, "reads"), named(0, "decides"), named(1, "decides"), named(0, "time passes"),
	}},
	{"e1 is paused with a decided command beyond its term", []move{
		named(0, "time passes"), named(0, "claims"), named(0, "reads"), named(1, "reads"), named(0, "decides"),
		named(0, "time passes"), named(0, "time passes"), named(0, "time passes"), named(1, "claims"), named(1, "reads"), named(1, "decides"),
	}},
	{"e1 goes on renewing and e2 reads nothing", []move{
		named(0, "time passes"), named(0, "claims"), named(1, "claims"), named(0, "reads"), named(1, "reads"), named(0, "time passes"),
		named(0, "renews"), named(0, "reads"), named(0, "time passes"),
		named(0, "renews"), named(0, "reads"), named(0, "time passes"), named(0, "renews"), named(0, "reads"),
	}},
	{"e1 renews and does not know whether", []move{
		named(0, "time passes"), named(0, "claims"), named(0, "reads"), named(1, "reads"), named(0, "time passes"),
		named(0, "renews, record lost"), named(0, "time passes"), named(0, "time passes"), named(0, "time passes"),
	}},
}

func TestEveryShortSequenceOfTwoHosts(t *testing.T) {
	const hosts = 2
	for _, p := range prefixes {
		t.Run(p.name, func(t *testing.T) {
			moves := append([]move{}, p.moves...)
			checked := 0
			var explore func(left int)
			explore = func(left int) {
				if left == 0 {
					checked++
					if err := play(hosts, moves); err != nil {
						require.NoError(t, err, describe(moves))
					}
					return
				}
				for h := range hosts {
					for a := range actions {
						moves = append(moves, move{h, a})
						explore(left - 1)
						moves = moves[:len(moves)-1]
					}
				}
			}
			explore(depth)
			require.Equal(t, 24*24*24, checked)
		})
	}
}

func TestLongSequencesOfThreeHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		var moves []move
		for range rapid.IntRange(20, 120).Draw(t, "length") {
			m := move{rapid.IntRange(0, 2).Draw(t, "host"), rapid.IntRange(0, len(actions)-1).Draw(t, "action")}
			moves = append(moves, m)
			actions[m.action].run(w, w.hosts[m.host])
			w.checkOneHolder()
		}
		if err := w.check(); err != nil {
			t.Fatalf("%s after %s", err, describe(moves))
		}
	})
}
