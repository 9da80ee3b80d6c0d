// Package failure gives every failure in seamloom a type.
package failure

import (
	stderrors "errors"

	"github.com/juju/errors"
)

// Trouble is a failure with a kind that programs can act on, and, for checks,
// the path of the value that it is about.
type Trouble struct {
	Kind   Kind   `json:"type" msgpack:"type"`
	Path   string `json:"path,omitempty" msgpack:"path,omitempty"`
	Detail string `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Error says the trouble in one line.
func (t *Trouble) Error() string {
	text := string(t.Kind)
	if t.Path != "" {
		text += " at " + t.Path
	}
	if t.Detail != "" {
		text += ": " + t.Detail
	}
	return text
}

// New makes a trouble of a kind.
func New(kind Kind, detail string) *Trouble { return &Trouble{Kind: kind, Detail: detail} }

// At makes a trouble about the value at a path.
func At(kind Kind, path, detail string) *Trouble {
	return &Trouble{Kind: kind, Path: path, Detail: detail}
}

// Wrap keeps the cause's text under a kind, and traces where it was met.
func Wrap(kind Kind, cause error) error {
	if cause == nil {
		return nil
	}
	var typed *Trouble
	if stderrors.As(cause, &typed) {
		return errors.Trace(cause)
	}
	return errors.Trace(New(kind, cause.Error()))
}

// KindOf finds the kind of a failure, or Unsorted when it has none.
func KindOf(err error) Kind {
	var typed *Trouble
	if stderrors.As(err, &typed) {
		return typed.Kind
	}
	return Unsorted
}

// DetailOf finds the detail of a failure, or nothing when it has none.
func DetailOf(err error) string {
	var typed *Trouble
	if stderrors.As(err, &typed) {
		return typed.Detail
	}
	return ""
}
