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

// readResult is what a scripted log returns for one read.
type readResult struct {
	batch Batch
	err   error
}

// scriptedLog returns one result after the other and records the requested offsets.
type scriptedLog struct {
	results []readResult
	offsets []journal.Offset
	done    chan struct{}
}

func (l *scriptedLog) Read(_ journal.StreamID, from journal.Offset, _ int, _ time.Duration) (Batch, error) {
	if len(l.offsets) == len(l.results) {
		close(l.done)
		select {}
	}
	l.offsets = append(l.offsets, from)
	a := l.results[len(l.offsets)-1]
	return a.batch, a.err
}

func rawRecords(texts ...string) []json.RawMessage {
	var out []json.RawMessage
	for _, s := range texts {
		out = append(out, json.RawMessage(s))
	}
	return out
}

func TestReaderDuringFaultsOfTheLog(t *testing.T) {
	two := readResult{batch: Batch{First: 0, End: 2, Records: rawRecords("0", "1")}}
	tests := []struct {
		name    string
		results []readResult
		offsets []journal.Offset
		// fault is set if the last delivered batch reports one.
		fault bool
	}{
		{
			"after a failure the last record is read again",
			[]readResult{two, {err: ErrUncertain}, {batch: Batch{First: 1, End: 2, Records: rawRecords("1")}}, {batch: Batch{First: 2, End: 2}}},
			[]journal.Offset{0, 2, 1, 2},
			false,
		},
		{
			"a record that is no longer retained is not read again",
			[]readResult{two, {err: ErrUncertain}, {batch: Batch{Oldest: 2, End: 2}, err: ErrTruncated}, {batch: Batch{First: 2, End: 2, Oldest: 2}}},
			[]journal.Offset{0, 2, 1, 2},
			false,
		},
		{
			"an end that moved back is a fault",
			[]readResult{two, {batch: Batch{First: 2, End: 1}}},
			[]journal.Offset{0, 2},
			true,
		},
		{
			"after an end that moved back the last record is read again",
			[]readResult{two, {batch: Batch{First: 2, End: 1}}, {batch: Batch{First: 1, End: 2, Records: rawRecords("1")}}},
			[]journal.Offset{0, 2, 1},
			false,
		},
		{
			"records that are no longer retained come from a snapshot",
			[]readResult{two, {batch: Batch{Oldest: 7, End: 9}, err: ErrTruncated}, {batch: Batch{First: 7, End: 9, Oldest: 7, Records: rawRecords("7")}}, {batch: Batch{First: 9, End: 9}}},
			[]journal.Offset{0, 2, 7, 8},
			false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			l := &scriptedLog{results: test.results, done: make(chan struct{})}
			out := make(chan Batch, len(test.results))
			r := NewReader(log, l, "S", 0, out).RestoreWith(func(_ context.Context, from journal.Offset) (journal.Offset, bool) {
				return 8, from == 2
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go func() { _ = r.Run(ctx) }()
			<-l.done
			require.Equal(t, test.offsets, l.offsets)
			var last Batch
			for range len(out) {
				last = <-out
			}
			require.Equal(t, test.fault, last.Fault != nil)
		})
	}
}
