package config

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// nameRule is the error detail for an invalid name.
const nameRule = "a name consists of at most 128 letters, digits, dots, dashes and underscores, and begins with a letter or digit"

// isName reports whether a text is a valid name, as described in nameRule.
func isName(text string) bool {
	if len(text) == 0 || len(text) > 128 {
		return false
	}
	for i := range len(text) {
		char := text[i]
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		case i > 0 && (char == '.' || char == '_' || char == '-'):
		default:
			return false
		}
	}
	return true
}

// fieldVisitor checks one field of an object and reports whether the field's name is known.
type fieldVisitor func(name string, field *fastjson.Value, at pointer) bool

// fields visits an object's fields and records a failure for each duplicate or unknown field. It
// returns false if the value is not an object.
func (c *checker) fields(value *fastjson.Value, at pointer, visit fieldVisitor) bool {
	if value.Type() != fastjson.TypeObject {
		c.failures.add(failure.WrongType, at.String(), "an object is required, not "+value.Type().String())
		return false
	}
	object := value.GetObject()
	// Small objects are checked for duplicates with a list on the stack, large ones with a map.
	var buffer [8]string
	seenList := buffer[:0]
	var seenSet map[string]bool
	if object.Len() > len(buffer) {
		seenSet = make(map[string]bool, object.Len())
	}
	object.Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		here := at.field(name)
		if seenSet[name] || (seenSet == nil && slices.Contains(seenList, name)) {
			c.failures.add(failure.Contradictory, here.String(), "duplicate field")
			return
		}
		if seenSet != nil {
			seenSet[name] = true
		} else {
			seenList = append(seenList, name)
		}
		if !visit(name, field, here) {
			c.failures.add(failure.UnknownField, here.String(), "unknown field")
		}
	})
	return true
}

// named visits an object whose field names are defined by the operator. It records a failure for each name that
// isName rejects.
func (c *checker) named(value *fastjson.Value, at pointer, visit func(name string, field *fastjson.Value, at pointer)) {
	c.fields(value, at, func(name string, field *fastjson.Value, at pointer) bool {
		if !isName(name) {
			c.failures.add(failure.OutOfRange, at.String(), nameRule)
			return true
		}
		visit(name, field, at)
		return true
	})
}

func (c *checker) integer(target *int, minimum, maximum int, value *fastjson.Value, at pointer) {
	number, err := value.Int()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "an integer is required")
		return
	}
	if number < minimum || number > maximum {
		c.failures.add(failure.OutOfRange, at.String(),
			"the number must be from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum))
		return
	}
	*target = number
}

func (c *checker) milliseconds(target *time.Duration, minimum int, maximum time.Duration, value *fastjson.Value, at pointer) {
	number := -1
	c.integer(&number, minimum, int(maximum/time.Millisecond), value, at)
	if number >= 0 {
		*target = time.Duration(number) * time.Millisecond
	}
}

func (c *checker) number(target *float64, value *fastjson.Value, at pointer) {
	number, err := value.Float64()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a number is required")
		return
	}
	if !(number >= 0 && number <= math.MaxInt64) {
		c.failures.add(failure.OutOfRange, at.String(), "the number must be from 0 to 2^63")
		return
	}
	*target = number
}

// text returns a string after checking that it has 1 to maxTextBytes bytes and neither spaces nor control characters.
// It returns false if the check failed.
func (c *checker) text(value *fastjson.Value, at pointer) (string, bool) {
	text, err := value.StringBytes()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a string is required")
		return "", false
	}
	isSpaceOrControl := func(char rune) bool { return char <= ' ' || char == 0x7f }
	if len(text) == 0 || len(text) > maxTextBytes || bytes.ContainsFunc(text, isSpaceOrControl) {
		c.failures.add(failure.OutOfRange, at.String(),
			"the string must have 1 to "+strconv.Itoa(maxTextBytes)+" bytes and neither spaces nor control characters")
		return "", false
	}
	return string(text), true
}

// host checks a host name and converts it to lower case, because host names are case-insensitive.
func (c *checker) host(target *string, value *fastjson.Value, at pointer) {
	if text, valid := c.text(value, at); valid {
		*target = strings.ToLower(text)
	}
}

func (c *checker) pathPrefix(target *string, value *fastjson.Value, at pointer) {
	text, valid := c.text(value, at)
	if !valid {
		return
	}
	if !strings.HasPrefix(text, "/") || !strings.HasSuffix(text, "/") {
		c.failures.add(failure.OutOfRange, at.String(), "a path prefix must begin and end with a slash")
		return
	}
	*target = text
}

func (c *checker) path(target *string, value *fastjson.Value, at pointer) {
	text, valid := c.text(value, at)
	if !valid {
		return
	}
	if !strings.HasPrefix(text, "/") {
		c.failures.add(failure.OutOfRange, at.String(), "a path must begin with a slash")
		return
	}
	*target = text
}

func (c *checker) texts(target *[]string, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of strings is required")
		return
	}
	for i, entry := range entries {
		if text, valid := c.text(entry, at.field(strconv.Itoa(i))); valid {
			*target = append(*target, text)
		}
	}
}

func (c *checker) boolean(target *bool, value *fastjson.Value, at pointer) {
	parsed, err := value.Bool()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "true or false is required")
		return
	}
	*target = parsed
}

func (c *checker) name(target *string, value *fastjson.Value, at pointer) {
	text, err := value.StringBytes()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a name is required")
		return
	}
	if !isName(string(text)) {
		c.failures.add(failure.OutOfRange, at.String(), nameRule)
		return
	}
	*target = string(text)
}

func (c *checker) names(target *[]string, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of names is required")
		return
	}
	for i, entry := range entries {
		var name string
		here := at.field(strconv.Itoa(i))
		c.name(&name, entry, here)
		if name != "" && slices.Contains(*target, name) {
			c.failures.add(failure.Contradictory, here.String(), "duplicate name")
		}
		*target = append(*target, name)
	}
}

// annotations checks that a value is an object. Its contents are notes of the operator, which are stored
// with the configuration and have no effect.
func (c *checker) annotations(value *fastjson.Value, at pointer) {
	if value.Type() != fastjson.TypeObject {
		c.failures.add(failure.WrongType, at.String(), "an object is required, not "+value.Type().String())
	}
}
