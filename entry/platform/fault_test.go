package platform

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// answer is what a scripted log answers to one read.
type answer struct {
	batch Batch
	err   error
}

// scriptedLog gives one answer after the other and notes what was asked.
type scriptedLog struct {
	answers []answer
	asked   []journal.Offset
	done    chan struct{}
}

func (l *scriptedLog) Read(_ journal.StreamID, from journal.Offset, _ int, _ time.Duration) (Batch, error) {
	if len(l.asked) == len(l.answers) {
		close(l.done)
		select {}
	}
	l.asked = append(l.asked, from)
	a := l.answers[len(l.asked)-1]
	return a.batch, a.err
}

func raws(texts ...string) []json.RawMessage {
	var out []json.RawMessage
	for _, s := range texts {
		out = append(out, json.RawMessage(s))
	}
	return out
}

func TestReaderThroughFaultsOfTheLog(t *testing.T) {
	two := answer{batch: Batch{First: 0, End: 2, Records: raws("0", "1")}}
	tests := []struct {
		name    string
		answers []answer
		asked   []journal.Offset
		// fault is set if the last batch handed on reports one.
		fault bool
	}{
		{
			"after a failure the last record is read again",
			[]answer{two, {err: ErrUncertain}, {batch: Batch{First: 1, End: 2, Records: raws("1")}}, {batch: Batch{First: 2, End: 2}}},
			[]journal.Offset{0, 2, 1, 2},
			false,
		},
		{
			"a record forgotten meanwhile is not read again",
			[]answer{two, {err: ErrUncertain}, {batch: Batch{Oldest: 2, End: 2}, err: ErrForgotten}, {batch: Batch{First: 2, End: 2, Oldest: 2}}},
			[]journal.Offset{0, 2, 1, 2},
			false,
		},
		{
			"an end that moved back is a fault",
			[]answer{two, {batch: Batch{First: 2, End: 1}}},
			[]journal.Offset{0, 2},
			true,
		},
		{
			"after it the last record is read again",
			[]answer{two, {batch: Batch{First: 2, End: 1}}, {batch: Batch{First: 1, End: 2, Records: raws("1")}}},
			[]journal.Offset{0, 2, 1},
			false,
		},
		{
			"what was forgotten is taken from a snapshot",
			[]answer{two, {batch: Batch{Oldest: 7, End: 9}, err: ErrForgotten}, {batch: Batch{First: 7, End: 9, Oldest: 7, Records: raws("7")}}, {batch: Batch{First: 9, End: 9}}},
			[]journal.Offset{0, 2, 7, 8},
			false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			l := &scriptedLog{answers: test.answers, done: make(chan struct{})}
			out := make(chan Batch, len(test.answers))
			r := NewReader(log, l, "S", 0, out).RestoreWith(func(_ context.Context, from journal.Offset) (journal.Offset, bool) {
				return 8, from == 2
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() { _ = r.Run(ctx) }()
			<-l.done
			require.Equal(t, test.asked, l.asked)
			var last Batch
			for range len(out) {
				last = <-out
			}
			require.Equal(t, test.fault, last.Fault != nil)
		})
	}
}
