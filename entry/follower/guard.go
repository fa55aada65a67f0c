package follower

import (
	"errors"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// ErrChanged means that the log has another record at an applied offset.
var ErrChanged = eris.New("a record changed under the same offset")

// guard notices a log that contradicts itself. Such a log can't be followed
// without a step back.
type guard struct {
	log logrus.FieldLogger
	// fault is set while nothing may be applied.
	fault string
	// movedBack is set if the fault is an end that moved back.
	movedBack bool
}

// look compares a batch with what was applied. An end that moved back is a fault
// until the log has the last applied record again at its offset; a changed record
// is one for good.
func (g *guard) look(fold *journal.StateMachine, b platform.Batch) {
	if b.Fault != nil {
		g.fail(b.Fault)
		return
	}
	seesLast := false
	for i, raw := range b.Records {
		o := b.First + journal.Offset(i)
		if o >= fold.NextOffset() {
			break
		}
		if !fold.MatchesHistory(o, raw) {
			g.fail(eris.Wrapf(ErrChanged, "at offset %d", o))
			g.movedBack = false
			return
		}
		seesLast = o == fold.NextOffset()-1
	}
	if g.movedBack && seesLast && !b.Relayed {
		g.log.WithField("Next", fold.NextOffset()).Warn("the log has its end again")
		g.fault, g.movedBack = "", false
	}
}

func (g *guard) fail(err error) {
	if g.fault != "" {
		return
	}
	g.log.WithError(err).Error("the log contradicts itself, nothing more is applied")
	g.fault = err.Error()
	g.movedBack = errors.Is(err, platform.ErrEndMovedBack)
}
