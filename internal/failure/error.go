// Package failure defines the error type of seamloom and its codes. The code is a stable contract:
// callers, operators and other nodes act on it, and it is sent between nodes unchanged. Path and
// detail are meant for people, and their text may change. Every package may import failure; failure
// imports no other package of seamloom.
//
// An error keeps its code however often it is wrapped: CodeOf finds the code with errors.As, and
// errors.Is matches a target Error that has only a code.
package failure

import (
	stderrors "errors"

	"github.com/juju/errors"
)

// Error is an error with a code that programs can act on. A validation error also has the path of
// the invalid value.
type Error struct {
	Code   Code   `json:"type" msgpack:"type"`
	Path   string `json:"path,omitempty" msgpack:"path,omitempty"`
	Detail string `json:"detail,omitempty" msgpack:"detail,omitempty"`
}

// Error returns the code, the path and the detail in one line.
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

// Is reports whether the target has the same code and neither a path nor a detail, so that
// errors.Is(err, &failure.Error{Code: failure.Busy}) matches every error with that code.
func (e *Error) Is(target error) bool {
	t, typed := target.(*Error)
	return typed && *t == Error{Code: e.Code}
}

// New returns an error with a code and a detail.
func New(code Code, detail string) *Error { return &Error{Code: code, Detail: detail} }

// At returns an error about the value at a path, which is a JSON pointer.
func At(code Code, path, detail string) *Error {
	return &Error{Code: code, Path: path, Detail: detail}
}

// Wrap returns an error with the given code that records where Wrap was called. A cause that already
// has a code keeps that code; a nil cause returns nil.
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

// CodeOf returns the code of an error, or Unclassified if the error is nil or has no code.
func CodeOf(err error) Code {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Code
	}
	return Unclassified
}

// DetailOf returns the detail of an error, or an empty string if the error has no code.
func DetailOf(err error) string {
	var typed *Error
	if stderrors.As(err, &typed) {
		return typed.Detail
	}
	return ""
}
