package config

import (
	"strconv"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Revise makes the next revision of a configuration's text. The edit runs only if text is
// at revision base (else RevisionConflict, with the current revision as detail), and its
// result must have a higher revision, so that two operators can not overwrite one another.
// A result without evacuations keeps those in force. An invalid result is a
// *ValidationError.
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
		return nil, invalid(failure.WrongType, "/", "an object is needed, not "+next.Type().String())
	}
	revisionField := next.Get("revision")
	if revisionField == nil {
		return nil, invalid(failure.Missing, "/revision", "a change that builds on a revision gives the next one")
	}
	revision, err := revisionField.Uint64()
	switch {
	case err != nil:
		return nil, invalid(failure.WrongType, "/revision", "a whole number is needed")
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
