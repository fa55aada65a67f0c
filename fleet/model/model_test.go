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

// TestMain sets a fixed seed, so that every run checks the same sequences.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// depth is the number of actions that the exhaustive check appends to each prefix.
const depth = 3

// move is an action by one host.
type move struct{ host, action int }

func (m move) String() string {
	return fmt.Sprintf("e%d %s", m.host+1, actions[m.action].name)
}

func runMoves(hosts int, moves []move) error {
	w := newWorld(hosts)
	for _, m := range moves {
		actions[m.action].run(w, w.hosts[m.host])
		if w.violation != nil {
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

func moveOf(host int, name string) move {
	for i, a := range actions {
		if a.name == name {
			return move{host, i}
		}
	}
	panic(name)
}

// prefixes bring a world of two hosts into the states in which races can occur.
var prefixes = []struct {
	name  string
	moves []move
}{
	{"no host holds the duty", nil},
	{"e1 holds the duty", []move{moveOf(0, "claims"), moveOf(1, "claims"), moveOf(0, "reads"), moveOf(1, "reads")}},
	{"e1 has decided and its term is nearly over", []move{
		moveOf(0, "claims"), moveOf(1, "claims"), moveOf(0, "reads"), moveOf(1, "reads"), moveOf(0, "decides"), moveOf(1, "decides"), moveOf(0, "time passes"),
	}},
	{"e1 is paused with a decided command beyond its term", []move{
		moveOf(0, "time passes"), moveOf(0, "claims"), moveOf(0, "reads"), moveOf(1, "reads"), moveOf(0, "decides"),
		moveOf(0, "time passes"), moveOf(0, "time passes"), moveOf(0, "time passes"), moveOf(1, "claims"), moveOf(1, "reads"), moveOf(1, "decides"),
	}},
	{"e1 keeps renewing and e2 reads nothing", []move{
		moveOf(0, "time passes"), moveOf(0, "claims"), moveOf(1, "claims"), moveOf(0, "reads"), moveOf(1, "reads"), moveOf(0, "time passes"),
		moveOf(0, "renews"), moveOf(0, "reads"), moveOf(0, "time passes"),
		moveOf(0, "renews"), moveOf(0, "reads"), moveOf(0, "time passes"), moveOf(0, "renews"), moveOf(0, "reads"),
	}},
	{"e1 renews and the record is lost", []move{
		moveOf(0, "time passes"), moveOf(0, "claims"), moveOf(0, "reads"), moveOf(1, "reads"), moveOf(0, "time passes"),
		moveOf(0, "renews, record lost"), moveOf(0, "time passes"), moveOf(0, "time passes"), moveOf(0, "time passes"),
	}},
}

func TestInvariantsInEveryShortSequenceOfTwoHosts(t *testing.T) {
	const hosts = 2
	for _, p := range prefixes {
		t.Run(p.name, func(t *testing.T) {
			moves := append([]move{}, p.moves...)
			checked := 0
			var explore func(left int)
			explore = func(left int) {
				if left == 0 {
					checked++
					if err := runMoves(hosts, moves); err != nil {
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

func TestInvariantsInRandomSequencesOfThreeHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		var moves []move
		for range rapid.IntRange(20, 120).Draw(t, "length") {
			m := move{rapid.IntRange(0, 2).Draw(t, "host"), rapid.IntRange(0, len(actions)-1).Draw(t, "action")}
			moves = append(moves, m)
			actions[m.action].run(w, w.hosts[m.host])
			w.checkSingleHolder()
		}
		if err := w.check(); err != nil {
			t.Fatalf("%s after %s", err, describe(moves))
		}
	})
}
