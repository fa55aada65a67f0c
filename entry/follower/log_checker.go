package follower

import (
	"errors"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/platform"
	"github.com/godwitcross/godwitcross/fleet/journal"
)

// ErrRecordChanged means that the log has a different record at an applied offset.
var ErrRecordChanged = eris.New("a record changed under the same offset")

// logChecker detects a log that is inconsistent with the records applied from it. Applied
// records can't be undone, so such a log can't be followed any further.
type logChecker struct {
	log logrus.FieldLogger
	// fault is the cause while no record may be applied.
	fault string
	// endMovedBack is set if the fault is that the log's end moved back.
	endMovedBack bool
}

// check compares a batch with the applied records. An end that moved back is a fault
// until the log itself, not a peer, returns the last applied record at its offset again.
// A changed record is a permanent fault.
func (c *logChecker) check(machine *journal.StateMachine, b platform.Batch) {
	if b.Fault != nil {
		c.fail(b.Fault)
		return
	}
	hasLastApplied := false
	for i, raw := range b.Records {
		o := b.First + journal.Offset(i)
		if o >= machine.NextOffset() {
			break
		}
		if !machine.MatchesHistory(o, raw) {
			c.fail(eris.Wrapf(ErrRecordChanged, "at offset %d", o))
			c.endMovedBack = false
			return
		}
		hasLastApplied = o == machine.NextOffset()-1
	}
	if c.endMovedBack && hasLastApplied && !b.Relayed {
		c.log.WithField("Next", machine.NextOffset()).Warn("log end recovered, applying records again")
		c.fault, c.endMovedBack = "", false
	}
}

// fail records the first fault; later ones don't replace it.
func (c *logChecker) fail(err error) {
	if c.fault != "" {
		return
	}
	c.log.WithError(err).Error("log is inconsistent, applying no more records")
	c.fault = err.Error()
	c.endMovedBack = errors.Is(err, platform.ErrEndMovedBack)
}
