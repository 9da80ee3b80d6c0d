package config

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// ValidationError is returned for a configuration that is not valid. It holds all
// failures that a check met, up to MaxErrors, each with its code and its path (a JSON
// pointer into the configuration).
type ValidationError struct {
	Errors []*failure.Error `json:"failures"`
}

// MaxErrors is how many failures one check reports at most.
const MaxErrors = 100

// Error says how many failures there are, and the first.
func (f *ValidationError) Error() string {
	if len(f.Errors) == 1 {
		return f.Errors[0].Error()
	}
	return "several failures, the first: " + f.Errors[0].Error()
}

// invalid makes a ValidationError of one failure.
func invalid(code failure.Code, path, detail string) *ValidationError {
	return &ValidationError{Errors: []*failure.Error{failure.At(code, path, detail)}}
}

// SyntaxDetail says where a text that can't be read breaks off being JSON. It shows nothing of the text, which
// may hold keys.
func SyntaxDetail(text []byte) string {
	var syntax *json.SyntaxError
	if err := json.Unmarshal(text, new(json.RawMessage)); errors.As(err, &syntax) {
		return "the text is not JSON at byte " + strconv.FormatInt(syntax.Offset, 10)
	}
	return "the text is not JSON"
}

func (f *ValidationError) add(code failure.Code, path, detail string) {
	if len(f.Errors) < MaxErrors {
		f.Errors = append(f.Errors, failure.At(code, path, detail))
	}
}

// pointer is the place of a value in a configuration, as a linked list from the leaf to
// the root: its text is made only when a failure needs it.
type pointer struct {
	parent *pointer
	name   string
}

func (at pointer) field(name string) pointer { return pointer{parent: &at, name: name} }

// String renders the place as a JSON pointer (RFC 6901); the root is "/".
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
