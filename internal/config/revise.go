package config

import (
	"strconv"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Revise returns the next revision of a configuration's text. It calls edit only if text is
// at revision base, and otherwise fails with RevisionConflict and the current revision as the detail.
// The edited text must have a higher revision, so that two operators cannot overwrite each other's changes.
// If the edited text has no field "evacuations", the current evacuations stay in force. The error is a
// *ValidationError if the edited text is not a JSON object or its revision is missing, invalid or not higher; nothing
// else is validated.
func Revise(text []byte, base uint64, edit func(text []byte) ([]byte, error)) ([]byte, error) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(text)
	if err != nil {
		return nil, failure.At(failure.Malformed, "/", SyntaxDetail(text))
	}
	current := root.GetUint64("revision")
	if current != base {
		return nil, failure.New(failure.RevisionConflict, strconv.FormatUint(current, 10))
	}
	edited, err := edit(text)
	if err != nil {
		return nil, err
	}
	nextParser := parsers.Get()
	defer parsers.Put(nextParser)
	next, err := nextParser.ParseBytes(edited)
	if err != nil {
		return nil, invalid(failure.Malformed, "/", SyntaxDetail(edited))
	}
	if next.Type() != fastjson.TypeObject {
		return nil, invalid(failure.WrongType, "/", "an object is required, not "+next.Type().String())
	}
	revisionField := next.Get("revision")
	if revisionField == nil {
		return nil, invalid(failure.Missing, "/revision", "a change based on a revision must contain the next revision")
	}
	revision, err := revisionField.Uint64()
	switch {
	case err != nil:
		return nil, invalid(failure.WrongType, "/revision", "an integer is required")
	case revision <= current:
		return nil, invalid(failure.OutOfRange, "/revision", "the revision must be above "+strconv.FormatUint(current, 10))
	}
	evacuations := root.Get("evacuations")
	if evacuations == nil || next.Exists("evacuations") {
		return edited, nil
	}
	next.Set("evacuations", evacuations)
	return next.MarshalTo(make([]byte, 0, len(edited)+64)), nil
}
