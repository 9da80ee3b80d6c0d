package menu

import (
	"slices"
	"sort"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/trouble"
)

// parsers are used again: what they read is copied before they go back.
var parsers fastjson.ParserPool

// MostBytes is the largest configuration that is read.
const MostBytes = 16 << 20

// Check reads a whole configuration; it returns either the configuration or
// *Findings with every failure's path and type.
//
// Example:
//
//	configuration, failure := menu.Check([]byte(`{"services":{"chat":{}}}`))
func Check(text []byte) (*Configuration, error) {
	findings := &Findings{}
	if len(text) > MostBytes {
		findings.add(trouble.Oversize, "/", "a configuration has at most "+strconv.Itoa(MostBytes)+" bytes")
		return nil, findings
	}
	if !utf8.Valid(text) {
		findings.add(trouble.Malformed, "/", "the text is not UTF-8")
		return nil, findings
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, failure := parser.ParseBytes(text)
	if failure != nil {
		findings.add(trouble.Malformed, "/", failure.Error())
		return nil, findings
	}
	checker := &checker{findings: findings, configuration: Empty()}
	checker.configuration.Text = append([]byte(nil), text...)
	checker.root(root, place{})
	if len(findings.Troubles) > 0 {
		return nil, findings
	}
	routes := checker.configuration.Routes
	sort.Slice(routes, func(left, right int) bool {
		if routes[left].Order != routes[right].Order {
			return routes[left].Order < routes[right].Order
		}
		return routes[left].Name < routes[right].Name
	})
	return checker.configuration, nil
}

type checker struct {
	findings      *Findings
	configuration *Configuration
}

// nameRule says what a name is made of.
const nameRule = "a name has letters, digits, dots, dashes and underscores, 128 at most"

// isName tells whether a text is a name: it begins with a letter or digit.
func isName(text string) bool {
	if len(text) == 0 || len(text) > 128 {
		return false
	}
	for position := range len(text) {
		letter := text[position]
		switch {
		case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		case position > 0 && (letter == '.' || letter == '_' || letter == '-'):
		default:
			return false
		}
	}
	return true
}

// fields visits an object's fields, and reports doubled and unknown ones; visit
// tells whether it knows the name.
func (checker *checker) fields(value *fastjson.Value, at place, visit func(name string, field *fastjson.Value, at place) bool) bool {
	if value.Type() != fastjson.TypeObject {
		checker.findings.add(trouble.WrongType, at.String(), "an object is needed, not "+value.Type().String())
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
			checker.findings.add(trouble.Contradictory, here.String(), "the field stands twice")
			return
		}
		if many != nil {
			many[name] = true
		} else {
			seen = append(seen, name)
		}
		if !visit(name, field, here) {
			checker.findings.add(trouble.UnknownField, here.String(), "no such field")
		}
	})
	return true
}

// named visits an object whose fields are named by the operator.
func (checker *checker) named(value *fastjson.Value, at place, visit func(name string, field *fastjson.Value, at place)) {
	checker.fields(value, at, func(name string, field *fastjson.Value, at place) bool {
		if !isName(name) {
			checker.findings.add(trouble.OutOfRange, at.String(), nameRule)
			return true
		}
		visit(name, field, at)
		return true
	})
}

func (checker *checker) root(root *fastjson.Value, at place) {
	checker.fields(root, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "services":
			checker.named(value, at, checker.service)
		case "routes":
			checker.named(value, at, checker.route)
		case "evacuations":
			checker.named(value, at, checker.evacuation)
		default:
			return false
		}
		return true
	})
	for _, route := range checker.configuration.Routes {
		if _, found := checker.configuration.Services[route.Match.Service]; route.Match.Service != "" && !found {
			checker.findings.add(trouble.Contradictory, place{}.field("routes").field(route.Name).field("match").field("service").String(), "no service "+route.Match.Service)
		}
	}
}

func (checker *checker) service(name string, value *fastjson.Value, at place) {
	service := Service{Name: name, Limit: DefaultLimit, MaxPromptTokens: DefaultMaxPromptTokens,
		MaxPieces: DefaultMaxPieces, InFlight: DefaultInFlight, Tries: DefaultTries}
	var milliseconds int
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "limit_milliseconds":
			checker.whole(&milliseconds, 1, int(LongestLimit/time.Millisecond), value, at)
		case "max_prompt_tokens":
			checker.whole(&service.MaxPromptTokens, 1, 10_000_000, value, at)
		case "max_pieces":
			checker.whole(&service.MaxPieces, 1, 1_000_000, value, at)
		case "in_flight":
			checker.whole(&service.InFlight, 1, 1_000_000, value, at)
		case "tries":
			checker.whole(&service.Tries, 1, 10, value, at)
		default:
			return false
		}
		return true
	})
	if milliseconds > 0 {
		service.Limit = time.Duration(milliseconds) * time.Millisecond
	}
	checker.configuration.Services[service.Name] = service
}

func (checker *checker) route(name string, value *fastjson.Value, at place) {
	route := Route{Name: name, To: Target{HomeFirst: true}}
	seenTo := false
	if !checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "order":
			checker.whole(&route.Order, 0, 1_000_000_000, value, at)
		case "match":
			checker.match(&route.Match, value, at)
		case "to":
			seenTo = true
			checker.target(&route.To, value, at)
		default:
			return false
		}
		return true
	}) {
		return
	}
	if !seenTo {
		checker.findings.add(trouble.Missing, at.field("to").String(), "a route says where its inquiries go")
	}
	if route.To.Refuse && len(route.To.Districts) > 0 {
		checker.findings.add(trouble.Contradictory, at.field("to").String(), "a route that refuses names no districts")
	}
	if below := route.Match.PromptTokensBelow; below > 0 && route.Match.PromptTokensAtLeast >= below {
		checker.findings.add(trouble.Contradictory, at.field("match").String(), "no prompt is at least "+
			strconv.Itoa(route.Match.PromptTokensAtLeast)+" and below "+strconv.Itoa(below))
	}
	checker.configuration.Routes = append(checker.configuration.Routes, route)
}

func (checker *checker) match(match *Match, value *fastjson.Value, at place) {
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "service":
			checker.name(&match.Service, value, at)
		case "district":
			checker.name(&match.District, value, at)
		case "origin":
			checker.name(&match.Origin, value, at)
		case "prefix":
			checker.name(&match.Prefix, value, at)
		case "prompt_tokens_at_least":
			checker.whole(&match.PromptTokensAtLeast, 0, 10_000_000, value, at)
		case "prompt_tokens_below":
			checker.whole(&match.PromptTokensBelow, 1, 10_000_000, value, at)
		default:
			return false
		}
		return true
	})
}

func (checker *checker) target(target *Target, value *fastjson.Value, at place) {
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "districts":
			checker.names(&target.Districts, value, at)
		case "home_first":
			checker.boolean(&target.HomeFirst, value, at)
		case "refuse":
			checker.boolean(&target.Refuse, value, at)
		default:
			return false
		}
		return true
	})
}

func (checker *checker) evacuation(name string, value *fastjson.Value, at place) {
	evacuation := Evacuation{District: name}
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		if name != "reason" {
			return false
		}
		text, failure := value.StringBytes()
		if failure != nil {
			checker.findings.add(trouble.WrongType, at.String(), "a text is needed")
		}
		evacuation.Reason = string(text)
		return true
	})
	checker.configuration.Evacuations[evacuation.District] = evacuation
}

func (checker *checker) whole(target *int, least, most int, value *fastjson.Value, at place) {
	number, failure := value.Int()
	if failure != nil {
		checker.findings.add(trouble.WrongType, at.String(), "a whole number is needed")
		return
	}
	if number < least || number > most {
		checker.findings.add(trouble.OutOfRange, at.String(), "the number must be from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
		return
	}
	*target = number
}

func (checker *checker) boolean(target *bool, value *fastjson.Value, at place) {
	decided, failure := value.Bool()
	if failure != nil {
		checker.findings.add(trouble.WrongType, at.String(), "true or false is needed")
		return
	}
	*target = decided
}

func (checker *checker) name(target *string, value *fastjson.Value, at place) {
	text, failure := value.StringBytes()
	if failure != nil {
		checker.findings.add(trouble.WrongType, at.String(), "a name is needed")
		return
	}
	if !isName(string(text)) {
		checker.findings.add(trouble.OutOfRange, at.String(), nameRule)
		return
	}
	*target = string(text)
}

func (checker *checker) names(target *[]string, value *fastjson.Value, at place) {
	entries, failure := value.Array()
	if failure != nil {
		checker.findings.add(trouble.WrongType, at.String(), "a list of names is needed")
		return
	}
	for position, entry := range entries {
		var name string
		here := at.field(strconv.Itoa(position))
		checker.name(&name, entry, here)
		if name != "" && slices.Contains(*target, name) {
			checker.findings.add(trouble.Contradictory, here.String(), "the name stands twice")
		}
		*target = append(*target, name)
	}
}
