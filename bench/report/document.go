// Package report writes the figures of measurements as JSON, compares such files, and
// writes figures and charts as an HTML page.
package report

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"os"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/bench/measure"
)

// ErrDocument is returned for a file that is not the output of a measurement.
var ErrDocument = eris.New("not the output of a measurement")

// Document holds the figures of one run.
type Document struct {
	// Group is policy, load or capacity.
	Group   string
	Seed    uint64
	Seconds int
	// Figures have unique names and finite values.
	Figures []measure.Figure
}

// Write writes the document as JSON.
func (d Document) Write(w io.Writer) error {
	if err := d.check(); err != nil {
		return err
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(d), "writing the figures")
}

// Read reads a document from a file.
func Read(path string) (Document, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Document{}, eris.Wrap(err, "reading figures")
	}
	d, err := Parse(b)
	return d, eris.Wrapf(err, "%s", path)
}

// Parse decodes a document. It rejects unknown fields, duplicate figures and trailing
// data.
func Parse(b []byte) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return d, eris.Wrapf(ErrDocument, "at byte %d: %s", dec.InputOffset(), err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return d, eris.Wrapf(ErrDocument, "at byte %d: text behind the end", dec.InputOffset())
	}
	return d, d.check()
}

func (d Document) check() error {
	if d.Group == "" {
		return eris.Wrap(ErrDocument, "Group is missing")
	}
	seen := make(map[string]bool, len(d.Figures))
	for _, f := range d.Figures {
		switch {
		case f.Name == "":
			return eris.Wrap(ErrDocument, "a figure without a name")
		case seen[f.Name]:
			return eris.Wrapf(ErrDocument, "figure %s stands twice", f.Name)
		case math.IsNaN(f.Value) || math.IsInf(f.Value, 0):
			return eris.Wrapf(ErrDocument, "figure %s is not a finite number", f.Name)
		case f.Better != "" && f.Better != measure.Lower && f.Better != measure.Higher:
			return eris.Wrapf(ErrDocument, "figure %s: Better is %q", f.Name, f.Better)
		}
		seen[f.Name] = true
	}
	return nil
}
