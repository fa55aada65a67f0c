package platform

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/godwitcross/godwitcross/standin/fault"
)

// UsageInterval is the time between two usage reports of a worker.
const UsageInterval = time.Second

// maxReports is the number of reports that a worker keeps.
const maxReports = 64

// UsageReport is the cumulative usage of a worker's tasks.
type UsageReport struct {
	// Boot is the number of restarts; each resets the counters to 0.
	Boot int
	// At is the end of the interval.
	At time.Time
	// Used is the processor time since the restart, in millicore-milliseconds.
	Used int64
}

// usageMeter records a worker's usage reports.
type usageMeter struct {
	reports []UsageReport
}

// record adds a report unless there is one for the current interval.
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

// listUsageReports answers with the reports that are at least UsageDelay old. The fault
// UsageMissing omits the last one, UsageRepeated sends each twice.
func (p *Platform) listUsageReports(ctx *fasthttp.RequestCtx, w *Worker) {
	now := p.now()
	used := int64(0)
	for _, t := range w.Tasks {
		used += t.Used
	}
	w.usage.record(now, w.Reboots, used)
	reports := []UsageReport{}
	for _, r := range w.usage.reports {
		if now.Sub(r.At) >= p.Fleet.UsageDelay {
			reports = append(reports, r)
		}
	}
	if _, ok := p.Faults.Use(fault.UsageMissing, string(w.Facts.ID)); ok && len(reports) > 0 {
		reports = reports[:len(reports)-1]
	}
	if _, ok := p.Faults.Use(fault.UsageRepeated, string(w.Facts.ID)); ok {
		reports = append(reports, reports...)
	}
	writeJSON(ctx, fasthttp.StatusOK, reports)
}
