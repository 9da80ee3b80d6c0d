// Package failure gives every failure in seamloom a type.
package failure

import (
	stderrors "errors"

	"github.com/juju/errors"
)

// Error is a failure with a kind that programs can act on, and, for checks,
// the path of the value that it is about.
type Error struct {
	Code   Code   `json:"type" msgpack:"type"`
	Path   string `json:"path,omitempty" msgpack:"path,omitempty"`
	Detail string `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Error says the trouble in one line.
func (t *Error) Error() string {
	text := string(t.Code)
	if t.Path != "" {
		text += " at " + t.Path
	}
	if t.Detail != "" {
		text += ": " + t.Detail
	}
	return text
}

// New makes a trouble of a kind.
func New(kind Code, detail string) *Error { return &Error{Code: kind, Detail: detail} }

// At makes a trouble about the value at a path.
func At(kind Code, path, detail string) *Error {
	return &Error{Code: kind, Path: path, Detail: detail}
}

// Wrap keeps the cause's text under a kind, and traces where it was met.
func Wrap(kind Code, cause error) error {
	if cause == nil {
		return nil
	}
	var typed *Error
	if stderrors.As(cause, &typed) {
		return errors.Trace(cause)
	}
	return errors.Trace(New(kind, cause.Error()))
}

// CodeOf finds the kind of a failure, or Unsorted when it has none.
func CodeOf(err error) Code {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Code
	}
	return Unsorted
}

// DetailOf finds the detail of a failure, or nothing when it has none.
func DetailOf(err error) string {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Detail
	}
	return ""
}
