package config

import (
	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Merge applies a JSON merge patch (RFC 7396) to a configuration's text. The result is not
// validated. Merge fails with Malformed if the text or the patch cannot be parsed, and with WrongType
// if the patch is not an object.
func Merge(text, patch []byte) ([]byte, error) {
	targetParser, patchParser := parsers.Get(), parsers.Get()
	defer parsers.Put(targetParser)
	defer parsers.Put(patchParser)
	target, err := targetParser.ParseBytes(text)
	if err != nil {
		return nil, failure.At(failure.Malformed, "/", SyntaxDetail(text))
	}
	change, err := patchParser.ParseBytes(patch)
	if err != nil {
		return nil, failure.At(failure.Malformed, "/", SyntaxDetail(patch))
	}
	if change.Type() != fastjson.TypeObject {
		return nil, failure.At(failure.WrongType, "/", "a partial configuration must be an object")
	}
	return appendMerged(nil, target, change), nil
}

// appendMerged appends the result of applying the patch to the target; target is nil if the patch adds the
// value. It passes over each object only once: setting the fields individually with fastjson would search
// through all fields of the object each time.
func appendMerged(text []byte, target, patch *fastjson.Value) []byte {
	if patch.Type() != fastjson.TypeObject {
		return patch.MarshalTo(text)
	}
	changes := map[string]*fastjson.Value{}
	var names []string
	patch.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		if _, found := changes[string(key)]; !found {
			names = append(names, string(key))
		}
		changes[string(key)] = value
	})
	arena := &fastjson.Arena{}
	text = append(text, '{')
	first := true
	appendName := func(name string) {
		if !first {
			text = append(text, ',')
		}
		first = false
		text = append(arena.NewString(name).MarshalTo(text), ':')
	}
	if target != nil && target.Type() == fastjson.TypeObject {
		target.GetObject().Visit(func(key []byte, value *fastjson.Value) {
			change, changed := changes[string(key)]
			switch {
			case !changed:
				appendName(string(key))
				text = value.MarshalTo(text)
			case change.Type() != fastjson.TypeNull:
				appendName(string(key))
				text = appendMerged(text, value, change)
			}
			if changed {
				delete(changes, string(key))
			}
		})
	}
	for _, name := range names {
		if change, pending := changes[name]; pending && change.Type() != fastjson.TypeNull {
			appendName(name)
			text = appendMerged(text, nil, change)
		}
	}
	return append(text, '}')
}
