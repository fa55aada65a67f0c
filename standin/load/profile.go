package load

import (
	"os"
	"strings"

	"github.com/google/pprof/profile"
	"github.com/rotisserie/eris"
)

// Part is a part of the processor time.
type Part struct {
	Name string
	// Share is from 0 to 1.
	Share float64
}

// rules assign a sample to the first part of which a function is on its stack, by a part of the function's
// name. What the store needs, sockets and encoding included, is one part; the time of an allocation belongs
// to the part that allocates.
var rules = []struct {
	part  string
	names []string
}{
	{"garbage collection", []string{"runtime.gcBgMarkWorker", "runtime.gcAssistAlloc", "runtime.bgsweep", "runtime.bgscavenge", "runtime.gcStart", "runtime.gcMarkTermination", "runtime.(*sweepLocked)"}},
	{"logs", []string{"sirupsen/logrus", "entry/eventlog"}},
	{"metrics", []string{"entry/metric."}},
	{"store", []string{"platform.(*Store)", "entry/store.", "entry/relay.(*Store)", "leader.(*Leader).tail", "leader.(*Leader).commit"}},
	{"relayed calls", []string{"entry/relay.(*Server)"}},
	{"sockets", []string{"syscall.", "internal/poll.", "net.(*"}},
	{"encoding", []string{"encoding/json", "valyala/fasthttp", "job.ParseTask", "job.Task.String", "platform.decodeReport"}},
	{"decision", []string{"fleet/scheduling", "fleet/job"}},
	{"calls, rest", []string{"entry/leader", "entry/backend", "platform.(*Workers)"}},
	{"switching, timers", []string{"runtime.mcall", "runtime.schedule", "runtime.findRunnable", "runtime.netpoll", "runtime.sysmon", "runtime.mstart", "runtime.park_m"}},
}

// otherPart is the part of the samples without a rule.
const otherPart = "other"

// Split returns the parts of a CPU profile in the order of rules.
func Split(path string) ([]Part, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "opening the profile")
	}
	defer func() { _ = f.Close() }()
	p, err := profile.Parse(f)
	if err != nil {
		return nil, eris.Wrap(err, "reading the profile")
	}
	total, byPart := int64(0), make(map[string]int64)
	for _, s := range p.Sample {
		v := s.Value[len(s.Value)-1]
		total += v
		byPart[partOf(s)] += v
	}
	var parts []Part
	for _, r := range rules {
		parts = append(parts, Part{r.part, float64(byPart[r.part]) / float64(max(total, 1))})
	}
	return append(parts, Part{otherPart, float64(byPart[otherPart]) / float64(max(total, 1))}), nil
}

func partOf(s *profile.Sample) string {
	for _, r := range rules {
		for _, l := range s.Location {
			for _, line := range l.Line {
				for _, n := range r.names {
					if line.Function != nil && strings.Contains(line.Function.Name, n) {
						return r.part
					}
				}
			}
		}
	}
	return otherPart
}
