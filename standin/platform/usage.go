package platform

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/fault"
)

// UsageInterval is the time between two of a worker's reports.
const UsageInterval = time.Second

// maxReports is how many reports a worker keeps.
const maxReports = 64

// UsageReport is what a worker's tasks used up to a moment.
type UsageReport struct {
	// Boot is the number of restarts; counters begin again at 0 with each.
	Boot int
	// At is the end of the interval.
	At time.Time
	// Used counts processor time since the restart, in thousandths of a core
	// times milliseconds.
	Used int64
}

// usageMeter makes a worker's reports.
type usageMeter struct {
	reports []UsageReport
}

// record adds a report if the last one is an interval old.
func (m *usageMeter) record(now time.Time, boot int, used int64) {
	at := now.Truncate(UsageInterval)
	if n := len(m.reports); n > 0 && !at.After(m.reports[n-1].At) {
		return
	}
	m.reports = append(m.reports, UsageReport{Boot: boot, At: now, Used: used})
	if len(m.reports) > maxReports {
		m.reports = m.reports[1:]
	}
}

// reportUsage answers with the reports that are old enough to be told. The
// fault UsageMissing leaves out the last one, UsageRepeated tells each twice.
func (p *Platform) reportUsage(ctx *fasthttp.RequestCtx, w *Worker) {
	now := p.now()
	used := int64(0)
	for _, t := range w.Tasks {
		used += t.Used
	}
	w.usage.record(now, w.Reboots, used)
	told := []UsageReport{}
	for _, r := range w.usage.reports {
		if now.Sub(r.At) >= p.Fleet.UsageDelay {
			told = append(told, r)
		}
	}
	if _, ok := p.Faults.Use(fault.UsageMissing, string(w.Facts.ID)); ok && len(told) > 0 {
		told = told[:len(told)-1]
	}
	if _, ok := p.Faults.Use(fault.UsageRepeated, string(w.Facts.ID)); ok {
		told = append(told, told...)
	}
	answer(ctx, fasthttp.StatusOK, told)
}
