package config

import (
	"errors"
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

func TestReviseBuildsOnOneRevisionAndRises(t *testing.T) {
	to := func(text string) func([]byte) ([]byte, error) {
		return func([]byte) ([]byte, error) { return []byte(text), nil }
	}
	for _, row := range []struct {
		name, current, next, want string
		builds                    uint64
		code                      failure.Code
	}{
		{"the first", `{}`, `{"revision":3}`, `{"revision":3}`, 0, ""},
		{"a later one", `{"revision":3}`, `{"revision":9,"services":{}}`, `{"revision":9,"services":{}}`, 3, ""},
		{"evacuations stay", `{"revision":3,"evacuations":{"n":{"reason":"r"}}}`, `{"revision":4}`, `{"revision":4,"evacuations":{"n":{"reason":"r"}}}`, 3, ""},
		{"evacuations that are named count", `{"revision":3,"evacuations":{"n":{}}}`, `{"revision":4,"evacuations":{}}`, `{"revision":4,"evacuations":{}}`, 3, ""},
		{"another base", `{"revision":3}`, `{"revision":9}`, "", 2, failure.RevisionConflict},
		{"the first again", `{"revision":3}`, `{"revision":9}`, "", 0, failure.RevisionConflict},
		{"not above", `{"revision":3}`, `{"revision":3}`, "", 3, failure.OutOfRange},
		{"none", `{"revision":3}`, `{}`, "", 3, failure.Missing},
		{"no whole number", `{"revision":3}`, `{"revision":3.5}`, "", 3, failure.WrongType},
		{"unreadable", `{"revision":3}`, `{"revision":4`, "", 3, failure.Malformed},
		{"a list", `{"revision":3}`, `[]`, "", 3, failure.WrongType},
	} {
		text, err := Revise([]byte(row.current), row.builds, to(row.next))
		code := failure.Code("")
		var validation *ValidationError
		switch {
		case errors.As(err, &validation):
			code = validation.Errors[0].Code
		case err != nil:
			code = failure.CodeOf(err)
		}
		if code != row.code || string(text) != row.want {
			t.Errorf("%s: %s, %v", row.name, text, err)
		}
	}
}
