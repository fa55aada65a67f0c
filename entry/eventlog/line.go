package eventlog

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/godwitcross/godwitcross/entry/quote"
)

// Names of the fields that each line has.
const (
	timeName  = "Time"
	eventName = "Event"
	levelName = "Level"
)

// timeFormat is the format of the time of a line.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// field is a field of a line.
type field struct {
	name  string
	value any
}

// lineTime is the time of a line.
type lineTime time.Time

// line has the memory of a line that is being formatted.
type line struct {
	fields []field
	text   []byte
}

var lines = sync.Pool{New: func() any { return new(line) }}

// Event writes a line about a job, or about the host if id is empty, with fields of names and values in turn.
// A line beyond the limits is dropped before any of it is formatted.
func Event(log logrus.FieldLogger, event, id string, fields []any) {
	e, ok := log.(*logrus.Entry)
	if !ok {
		logFields(log, event, id, fields)
		return
	}
	f, ok := e.Logger.Formatter.(formatter)
	if !ok {
		logFields(log, event, id, fields)
		return
	}
	now := time.Now()
	if !e.Logger.IsLevelEnabled(logrus.InfoLevel) || !f.w.admit(now, id != "") {
		return
	}
	l := newLine(e.Data)
	defer l.release()
	if id != "" {
		l.add(jobName, id)
	}
	for name, value := range pairs(fields) {
		l.add(name, value)
	}
	f.w.enqueue(l.format(now, logrus.InfoLevel, event))
}

// logFields writes a line to a logger of another kind.
func logFields(log logrus.FieldLogger, event, id string, fields []any) {
	all := make(logrus.Fields, len(fields)/2+1)
	if id != "" {
		all[jobName] = id
	}
	for name, value := range pairs(fields) {
		all[name] = value
	}
	log.WithFields(all).Info(event)
}

// pairs iterates over fields of names and values in turn.
func pairs(fields []any) func(yield func(name string, value any) bool) {
	return func(yield func(name string, value any) bool) {
		for i := 0; i+1 < len(fields); i += 2 {
			if name, ok := fields[i].(string); ok && !yield(name, fields[i+1]) {
				return
			}
		}
	}
}

// formatter formats lines as logrus.JSONFormatter does, without reflection, and only those that its writer
// admits.
type formatter struct {
	w *Writer
}

// Format returns a line, or nothing if it is dropped.
func (f formatter) Format(e *logrus.Entry) ([]byte, error) {
	_, isAboutJob := e.Data[jobName]
	if !f.w.admit(time.Now(), isAboutJob) {
		return nil, nil
	}
	l := newLine(e.Data)
	defer l.release()
	text := l.format(e.Time, e.Level, e.Message)
	if e.Buffer == nil {
		return slices.Clone(text), nil
	}
	e.Buffer.Write(text)
	return e.Buffer.Bytes(), nil
}

// newLine returns a line with fields.
func newLine(data logrus.Fields) *line {
	l := lines.Get().(*line)
	for name, value := range data {
		l.add(name, value)
	}
	return l
}

// release returns the memory of a line.
func (l *line) release() {
	clear(l.fields)
	l.fields, l.text = l.fields[:0], l.text[:0]
	lines.Put(l)
}

// add adds a field, which takes the place of an earlier one of its name.
func (l *line) add(name string, value any) {
	if name == timeName || name == eventName || name == levelName {
		name = "fields." + name
	}
	for i := range l.fields {
		if l.fields[i].name == name {
			l.fields[i].value = value
			return
		}
	}
	l.fields = append(l.fields, field{name, value})
}

// format returns the line's text, which is valid until release. Fields are in the order of their names.
func (l *line) format(at time.Time, level logrus.Level, event string) []byte {
	l.fields = append(l.fields, field{timeName, lineTime(at)}, field{levelName, level.String()}, field{eventName, event})
	slices.SortFunc(l.fields, func(a, b field) int { return strings.Compare(a.name, b.name) })
	b := append(l.text, '{')
	for i, f := range l.fields {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(quote.AppendJSON(b, f.name), ':')
		b = appendValue(b, f.value)
	}
	l.text = append(b, '}', '\n')
	return l.text
}

// appendValue appends a value as JSON.
func appendValue(b []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return quote.AppendJSON(b, v)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case int64:
		return strconv.AppendInt(b, v, 10)
	case bool:
		return strconv.AppendBool(b, v)
	case lineTime:
		b = append(b, '"')
		b = time.Time(v).AppendFormat(b, timeFormat)
		return append(b, '"')
	case error:
		return quote.AppendJSON(b, v.Error())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return quote.AppendJSON(b, err.Error())
	}
	return append(b, encoded...)
}
