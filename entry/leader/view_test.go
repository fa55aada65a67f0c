package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/godwitcross/godwitcross/entry/store"
)

// The view counts as complete only as of a read that reached the stream's end, so that a
// leader that is more than a page behind knows that it is.
func TestStreamViewAge(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	records := func(from, n int64) []store.Record {
		out := make([]store.Record, n)
		for i := range out {
			out[i].Offset = from + int64(i)
		}
		return out
	}
	type read struct {
		page   store.Page
		sentAt time.Time
	}
	tests := map[string]struct {
		reads  []read
		age    time.Duration
		behind int64
		next   int64
	}{
		"nothing read since":           {nil, 10 * time.Second, 0, 5},
		"empty page":                   {[]read{{store.Page{Next: 5, End: 5}, at(8)}}, 2 * time.Second, 0, 5},
		"empty page after a wait":      {[]read{{store.Page{Next: 5, End: 5, Waited: time.Second}, at(8)}}, time.Second, 0, 5},
		"page to the end":              {[]read{{store.Page{Records: records(5, 2), Next: 7, End: 7}, at(8)}}, 2 * time.Second, 0, 7},
		"page short of the end":        {[]read{{store.Page{Records: records(5, 2), Next: 7, End: 9}, at(8)}}, 10 * time.Second, 2, 7},
		"later page passes that end":   {[]read{{store.Page{Records: records(5, 2), Next: 7, End: 9}, at(7)}, {store.Page{Records: records(7, 2), Next: 9, End: 12}, at(8)}}, 3 * time.Second, 3, 9},
		"always a page behind":         {[]read{{store.Page{Records: records(5, 2), Next: 7, End: 9}, at(6)}, {store.Page{Records: records(7, 2), Next: 9, End: 11}, at(7)}, {store.Page{Records: records(9, 2), Next: 11, End: 13}, at(8)}, {store.Page{Records: records(11, 2), Next: 13, End: 15}, at(9)}}, 2 * time.Second, 2, 13},
		"empty page short of the end":  {[]read{{store.Page{Next: 5, End: 9}, at(8)}}, 10 * time.Second, 4, 5},
		"end not known":                {[]read{{store.Page{Records: records(5, 2), Next: 7}, at(8)}}, 10 * time.Second, 0, 7},
		"earlier read is handled last": {[]read{{store.Page{Next: 7, End: 7}, at(8)}, {store.Page{Next: 5, End: 5}, at(6)}}, 2 * time.Second, 0, 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var v streamView
			v.observe(store.Page{Next: 5, End: 5}, start)
			for _, r := range tt.reads {
				v.observe(r.page, r.sentAt)
			}
			require.Equal(t, tt.age, v.age(at(10)))
			require.Equal(t, tt.behind, v.behind())
			require.Equal(t, tt.next, v.nextOffset())
		})
	}
}
