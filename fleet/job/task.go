package job

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// maxNameLength is the length of the longest name of a task.
const maxNameLength = idLength + 3*len(".-9223372036854775808")

// Task identifies a task of an occurrence of a job.
type Task struct {
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// String returns the name by which workers know the task.
func (t Task) String() string {
	return string(t.AppendName(make([]byte, 0, maxNameLength)))
}

// AppendName appends the name that String returns to b.
func (t Task) AppendName(b []byte) []byte {
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = strconv.AppendInt(append(b, '.'), int64(n), 10)
	}
	return b
}

// ParseTask parses a task's name as String returns it. The task refers to the memory of the name.
func ParseTask(name string) (Task, error) {
	var t Task
	if len(name) <= idLength || name[idLength] != '.' {
		return t, eris.Wrapf(ErrInvalid, "task name %q", name)
	}
	t.Job = ID(name[:idLength])
	if err := t.Job.Validate(); err != nil {
		return t, err
	}
	occurrence, rest, _ := strings.Cut(name[idLength+1:], ".")
	step, index, _ := strings.Cut(rest, ".")
	for _, f := range [...]struct {
		text string
		n    *int
	}{{occurrence, &t.Occurrence}, {step, &t.Step}, {index, &t.Index}} {
		var err error
		if *f.n, err = strconv.Atoi(f.text); err != nil {
			return t, eris.Wrapf(ErrInvalid, "task name %q", name)
		}
	}
	// Atoi accepts more than String returns, such as a sign and leading zeros.
	if string(t.AppendName(make([]byte, 0, maxNameLength))) != name {
		return t, eris.Wrapf(ErrInvalid, "task name %q", name)
	}
	return t, nil
}
