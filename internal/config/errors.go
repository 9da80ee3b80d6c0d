package config

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// ValidationError is returned for an invalid configuration. It contains all failures that
// a check found, up to MaxFailures, each with its code and its path (a JSON pointer into
// the configuration).
type ValidationError struct {
	Failures []*failure.Error `json:"failures"`
}

// MaxFailures is the maximum number of failures that one check reports.
const MaxFailures = 100

// Error returns the first failure and states whether there are several.
func (f *ValidationError) Error() string {
	if len(f.Failures) == 1 {
		return f.Failures[0].Error()
	}
	return "several failures, the first is: " + f.Failures[0].Error()
}

// invalid returns a ValidationError with one failure.
func invalid(code failure.Code, path, detail string) *ValidationError {
	return &ValidationError{Failures: []*failure.Error{failure.At(code, path, detail)}}
}

// SyntaxDetail describes at which byte a text stops being valid JSON. The description contains nothing of the
// text, because the text may contain API keys.
func SyntaxDetail(text []byte) string {
	var syntax *json.SyntaxError
	if err := json.Unmarshal(text, new(json.RawMessage)); errors.As(err, &syntax) {
		return "the text is not valid JSON at byte " + strconv.FormatInt(syntax.Offset, 10)
	}
	return "the text is not valid JSON"
}

func (f *ValidationError) add(code failure.Code, path, detail string) {
	if len(f.Failures) < MaxFailures {
		f.Failures = append(f.Failures, failure.At(code, path, detail))
	}
}

// pointer is the location of a value in a configuration. It is a linked list from the value to the
// root, so that the text of the location is built only when a failure is reported.
type pointer struct {
	parent *pointer
	name   string
}

func (at pointer) field(name string) pointer { return pointer{parent: &at, name: name} }

// String returns the location as a JSON pointer (RFC 6901), except that the root is "/" instead of an empty string.
func (at pointer) String() string {
	if at.parent == nil {
		return "/"
	}
	before := at.parent.String()
	return strings.TrimSuffix(before, "/") + "/" + escapeToken(at.name)
}

func escapeToken(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
