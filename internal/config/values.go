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

// nameRule says what a name is made of.
const nameRule = "a name has letters, digits, dots, dashes and underscores, 128 at most"

// isName tells whether a text is a name: it begins with a letter or digit.
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

// fieldVisitor checks one field of an object and reports whether it knows the name.
type fieldVisitor func(name string, field *fastjson.Value, at pointer) bool

// fields visits an object's fields and records those that stand twice or are unknown. It
// returns false if the value is no object.
func (c *checker) fields(value *fastjson.Value, at pointer, visit fieldVisitor) bool {
	if value.Type() != fastjson.TypeObject {
		c.failures.add(failure.WrongType, at.String(), "an object is needed, not "+value.Type().String())
		return false
	}
	object := value.GetObject()
	var few [8]string
	seen := few[:0]
	var many map[string]bool
	if object.Len() > len(few) {
		many = make(map[string]bool, object.Len())
	}
	object.Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		here := at.field(name)
		if many[name] || (many == nil && slices.Contains(seen, name)) {
			c.failures.add(failure.Contradictory, here.String(), "the field stands twice")
			return
		}
		if many != nil {
			many[name] = true
		} else {
			seen = append(seen, name)
		}
		if !visit(name, field, here) {
			c.failures.add(failure.UnknownField, here.String(), "no such field")
		}
	})
	return true
}

// named visits an object whose fields are named by the operator.
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

func (c *checker) integer(target *int, least, most int, value *fastjson.Value, at pointer) {
	number, err := value.Int()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a whole number is needed")
		return
	}
	if number < least || number > most {
		c.failures.add(failure.OutOfRange, at.String(), "the number must be from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
		return
	}
	*target = number
}

func (c *checker) milliseconds(target *time.Duration, least int, most time.Duration, value *fastjson.Value, at pointer) {
	number := -1
	c.integer(&number, least, int(most/time.Millisecond), value, at)
	if number >= 0 {
		*target = time.Duration(number) * time.Millisecond
	}
}

func (c *checker) number(target *float64, value *fastjson.Value, at pointer) {
	number, err := value.Float64()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a number is needed")
		return
	}
	if !(number >= 0 && number <= math.MaxInt64) {
		c.failures.add(failure.OutOfRange, at.String(), "the number must not be negative, nor beyond all measure")
		return
	}
	*target = number
}

// text takes a text without spaces or control characters.
func (c *checker) text(value *fastjson.Value, at pointer) (string, bool) {
	text, err := value.StringBytes()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a text is needed")
		return "", false
	}
	isSpaceOrControl := func(char rune) bool { return char <= ' ' || char == 0x7f }
	if len(text) == 0 || len(text) > maxTextBytes || bytes.ContainsFunc(text, isSpaceOrControl) {
		c.failures.add(failure.OutOfRange, at.String(),
			"the text has a letter at least, "+strconv.Itoa(maxTextBytes)+" bytes at most, and no spaces")
		return "", false
	}
	return string(text), true
}

// host takes a host's name; letters in it count alike in both cases.
func (c *checker) host(target *string, value *fastjson.Value, at pointer) {
	if text, taken := c.text(value, at); taken {
		*target = strings.ToLower(text)
	}
}

func (c *checker) pathPrefix(target *string, value *fastjson.Value, at pointer) {
	text, taken := c.text(value, at)
	if !taken {
		return
	}
	if !strings.HasPrefix(text, "/") || !strings.HasSuffix(text, "/") {
		c.failures.add(failure.OutOfRange, at.String(), "a path prefix begins and ends with a slash")
		return
	}
	*target = text
}

func (c *checker) path(target *string, value *fastjson.Value, at pointer) {
	text, taken := c.text(value, at)
	if !taken {
		return
	}
	if !strings.HasPrefix(text, "/") {
		c.failures.add(failure.OutOfRange, at.String(), "a path begins with a slash")
		return
	}
	*target = text
}

func (c *checker) texts(target *[]string, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of texts is needed")
		return
	}
	for i, entry := range entries {
		if text, taken := c.text(entry, at.field(strconv.Itoa(i))); taken {
			*target = append(*target, text)
		}
	}
}

func (c *checker) boolean(target *bool, value *fastjson.Value, at pointer) {
	decided, err := value.Bool()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "true or false is needed")
		return
	}
	*target = decided
}

func (c *checker) name(target *string, value *fastjson.Value, at pointer) {
	text, err := value.StringBytes()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a name is needed")
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
		c.failures.add(failure.WrongType, at.String(), "a list of names is needed")
		return
	}
	for i, entry := range entries {
		var name string
		here := at.field(strconv.Itoa(i))
		c.name(&name, entry, here)
		if name != "" && slices.Contains(*target, name) {
			c.failures.add(failure.Contradictory, here.String(), "the name stands twice")
		}
		*target = append(*target, name)
	}
}

// annotations are kept for those who wrote them, and never read.
func (c *checker) annotations(value *fastjson.Value, at pointer) {
	if value.Type() != fastjson.TypeObject {
		c.failures.add(failure.WrongType, at.String(), "an object is needed, not "+value.Type().String())
	}
}
