package config

import (
	"strconv"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Revise makes the next revision of a configuration's text: the edit is made only
// if the text has the revision that it builds on, and must give a higher one. A new
// text that says nothing of evacuations keeps those in force.
func Revise(text []byte, builds uint64, edit func(text []byte) ([]byte, error)) ([]byte, error) {
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(text)
	if err != nil {
		return nil, failure.At(failure.Malformed, "/", err.Error())
	}
	current := root.GetUint64("revision")
	if current != builds {
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
		return nil, finding(failure.Malformed, "/", err.Error())
	}
	if next.Type() != fastjson.TypeObject {
		return nil, finding(failure.WrongType, "/", "an object is needed, not "+next.Type().String())
	}
	given := next.Get("revision")
	if given == nil {
		return nil, finding(failure.Missing, "/revision", "a change that builds on a revision gives the next one")
	}
	revision, err := given.Uint64()
	switch {
	case err != nil:
		return nil, finding(failure.WrongType, "/revision", "a whole number is needed")
	case revision <= current:
		return nil, finding(failure.OutOfRange, "/revision", "the revision must be above "+strconv.FormatUint(current, 10))
	}
	evacuations := root.Get("evacuations")
	if evacuations == nil || next.Exists("evacuations") {
		return edited, nil
	}
	next.Set("evacuations", evacuations)
	return next.MarshalTo(make([]byte, 0, len(edited)+64)), nil
}

func finding(kind failure.Code, path, detail string) *Findings {
	return &Findings{Troubles: []*failure.Error{failure.At(kind, path, detail)}}
}
