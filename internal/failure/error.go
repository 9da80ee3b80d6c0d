// Package failure gives the errors of seamloom their codes. The code is the contract: it is
// what callers, operators and other nodes act on, and it goes over wires as it is. Path and
// detail are for people, and their text may change. Every package uses failure; it uses
// none of them.
//
// An error keeps its code however often it is wrapped: CodeOf finds it with errors.As, and
// errors.Is matches an Error that has nothing but a code.
package failure

import (
	stderrors "errors"

	"github.com/juju/errors"
)

// Error is an error with a code that programs can act on, and, for checks, the path of
// the value that it is about.
type Error struct {
	Code   Code   `json:"type" msgpack:"type"`
	Path   string `json:"path,omitempty" msgpack:"path,omitempty"`
	Detail string `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Error is the code, the path and the detail in one line.
func (e *Error) Error() string {
	text := string(e.Code)
	if e.Path != "" {
		text += " at " + e.Path
	}
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Is has errors.Is match a target of the same code that has neither path nor detail:
// errors.Is(err, &failure.Error{Code: failure.Busy}).
func (e *Error) Is(target error) bool {
	t, typed := target.(*Error)
	return typed && *t == Error{Code: e.Code}
}

// New makes an error of a code.
func New(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// At makes an error about the value at a path, which is a JSON pointer.
func At(code Code, path, detail string) *Error {
	return &Error{Code: code, Path: path, Detail: detail}
}

// Wrap gives the cause a code and records where it was met. A cause that has a code
// already keeps it; a nil cause stays nil.
func Wrap(code Code, cause error) error {
	if cause == nil {
		return nil
	}
	var typed *Error
	if stderrors.As(cause, &typed) {
		return errors.Trace(cause)
	}
	return errors.Trace(New(code, cause.Error()))
}

// CodeOf finds the code of an error. An error without one, and nil, count as Unsorted.
func CodeOf(err error) Code {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Code
	}
	return Unsorted
}

// DetailOf finds the detail of an error, or nothing when it has no code.
func DetailOf(err error) string {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Detail
	}
	return ""
}
