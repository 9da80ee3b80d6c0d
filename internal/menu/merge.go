package menu

import (
	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/trouble"
)

// Merge applies a JSON merge patch (RFC 7396) to a configuration's text. The
// result still has to be checked.
//
// Example:
//
//	text, failure := menu.Merge(current, []byte(`{"routes":{"chat":null}}`))
func Merge(text, patch []byte) ([]byte, error) {
	var targetParser, patchParser fastjson.Parser
	target, failure := targetParser.ParseBytes(text)
	if failure != nil {
		return nil, trouble.At(trouble.Malformed, "/", failure.Error())
	}
	change, failure := patchParser.ParseBytes(patch)
	if failure != nil {
		return nil, trouble.At(trouble.Malformed, "/", failure.Error())
	}
	if change.Type() != fastjson.TypeObject {
		return nil, trouble.At(trouble.WrongType, "/", "a partial configuration is an object")
	}
	return mergeValue(&fastjson.Arena{}, target, change).MarshalTo(nil), nil
}

func mergeValue(arena *fastjson.Arena, target, patch *fastjson.Value) *fastjson.Value {
	if patch.Type() != fastjson.TypeObject {
		return patch
	}
	if target == nil || target.Type() != fastjson.TypeObject {
		target = arena.NewObject()
	}
	patch.GetObject().Visit(func(key []byte, value *fastjson.Value) {
		name := string(key)
		if value.Type() == fastjson.TypeNull {
			target.Del(name)
			return
		}
		target.Set(name, mergeValue(arena, target.Get(name), value))
	})
	return target
}
