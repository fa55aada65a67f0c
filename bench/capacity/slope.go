package capacity

import (
	"runtime"
	"time"
)

// point is a measured value at a size.
type point struct {
	size, value float64
}

// slope returns the increase in value per unit of size by least squares.
func slope(points []point) float64 {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// measureHeap returns the heap bytes that the value returned by build retains.
func measureHeap[T any](build func() (T, error)) (float64, error) {
	before := heapInUse()
	v, err := build()
	after := heapInUse()
	runtime.KeepAlive(v)
	return float64(after) - float64(before), err
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// shortestTime calls f the given number of times and returns the shortest elapsed time
// of a call.
func shortestTime(times int, f func() error) (time.Duration, error) {
	best := time.Duration(1<<63 - 1)
	for range times {
		began := time.Now()
		if err := f(); err != nil {
			return 0, err
		}
		best = min(best, time.Since(began))
	}
	return best, nil
}
