package config

import (
	"errors"
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestReviseRequiresCurrentBaseAndHigherRevision(t *testing.T) {
	replaceWith := func(text string) func([]byte) ([]byte, error) {
		return func([]byte) ([]byte, error) { return []byte(text), nil }
	}
	for _, row := range []struct {
		name, current, next, want string
		base                      uint64
		code                      failure.Code
	}{
		{"first revision", `{}`, `{"revision":3}`, `{"revision":3}`, 0, ""},
		{"later revision", `{"revision":3}`, `{"revision":9,"services":{}}`, `{"revision":9,"services":{}}`, 3, ""},
		{"evacuations are kept if the edit has none", `{"revision":3,"evacuations":{"n":{"reason":"r"}}}`,
			`{"revision":4}`, `{"revision":4,"evacuations":{"n":{"reason":"r"}}}`, 3, ""},
		{"evacuations of the edit replace the current ones", `{"revision":3,"evacuations":{"n":{}}}`,
			`{"revision":4,"evacuations":{}}`, `{"revision":4,"evacuations":{}}`, 3, ""},
		{"another base", `{"revision":3}`, `{"revision":9}`, "", 2, failure.RevisionConflict},
		{"base of the first revision", `{"revision":3}`, `{"revision":9}`, "", 0, failure.RevisionConflict},
		{"revision not higher", `{"revision":3}`, `{"revision":3}`, "", 3, failure.OutOfRange},
		{"no revision", `{"revision":3}`, `{}`, "", 3, failure.Missing},
		{"revision is not an integer", `{"revision":3}`, `{"revision":3.5}`, "", 3, failure.WrongType},
		{"malformed JSON", `{"revision":3}`, `{"revision":4`, "", 3, failure.Malformed},
		{"list instead of an object", `{"revision":3}`, `[]`, "", 3, failure.WrongType},
	} {
		text, err := Revise([]byte(row.current), row.base, replaceWith(row.next))
		code := failure.Code("")
		var validation *ValidationError
		switch {
		case errors.As(err, &validation):
			code = validation.Failures[0].Code
		case err != nil:
			code = failure.CodeOf(err)
		}
		if code != row.code || string(text) != row.want {
			t.Errorf("%s: got text %q, error %v, want text %q, code %q", row.name, text, err, row.want, row.code)
		}
	}
}
