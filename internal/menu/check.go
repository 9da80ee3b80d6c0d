package menu

import (
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/trouble"
)

// MostBytes is the largest configuration that is read.
const MostBytes = 16 << 20

var nameShape = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

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
	var parser fastjson.Parser
	root, failure := parser.ParseBytes(text)
	if failure != nil {
		findings.add(trouble.Malformed, "/", failure.Error())
		return nil, findings
	}
	checker := &checker{findings: findings, configuration: Empty()}
	checker.configuration.Text = append([]byte(nil), text...)
	checker.root(root)
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

// fields visits an object's fields, and reports doubled and unknown ones.
func (checker *checker) fields(value *fastjson.Value, path string, known map[string]func(*fastjson.Value, string)) bool {
	if value.Type() != fastjson.TypeObject {
		checker.findings.add(trouble.WrongType, path, "an object is needed, not "+value.Type().String())
		return false
	}
	seen := map[string]bool{}
	value.GetObject().Visit(func(key []byte, field *fastjson.Value) {
		name := string(key)
		fieldPath := strings.TrimSuffix(path, "/") + "/" + escape(name)
		if seen[name] {
			checker.findings.add(trouble.Contradictory, fieldPath, "the field stands twice")
			return
		}
		seen[name] = true
		if visit, found := known[name]; found {
			visit(field, fieldPath)
		} else if visit, found := known["*"]; found {
			if !nameShape.MatchString(name) {
				checker.findings.add(trouble.OutOfRange, fieldPath, "a name has letters, digits, dots, dashes and underscores, 128 at most")
				return
			}
			visit(field, fieldPath)
		} else {
			checker.findings.add(trouble.UnknownField, fieldPath, "no such field")
		}
	})
	return true
}

func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func (checker *checker) root(root *fastjson.Value) {
	services := map[string]func(*fastjson.Value, string){"*": checker.service}
	routes := map[string]func(*fastjson.Value, string){"*": checker.route}
	evacuations := map[string]func(*fastjson.Value, string){"*": checker.evacuation}
	checker.fields(root, "/", map[string]func(*fastjson.Value, string){
		"services":    func(value *fastjson.Value, path string) { checker.fields(value, path, services) },
		"routes":      func(value *fastjson.Value, path string) { checker.fields(value, path, routes) },
		"evacuations": func(value *fastjson.Value, path string) { checker.fields(value, path, evacuations) },
	})
	for _, route := range checker.configuration.Routes {
		if _, found := checker.configuration.Services[route.Match.Service]; route.Match.Service != "" && !found {
			checker.findings.add(trouble.Contradictory, "/routes/"+escape(route.Name)+"/match/service", "no service "+route.Match.Service)
		}
	}
}

func lastName(path string) string {
	name := path[strings.LastIndexByte(path, '/')+1:]
	return strings.ReplaceAll(strings.ReplaceAll(name, "~1", "/"), "~0", "~")
}

func (checker *checker) service(value *fastjson.Value, path string) {
	service := Service{Name: lastName(path), Limit: DefaultLimit, MaxPromptTokens: DefaultMaxPromptTokens,
		MaxPieces: DefaultMaxPieces, InFlight: DefaultInFlight, Tries: DefaultTries}
	var milliseconds int
	checker.fields(value, path, map[string]func(*fastjson.Value, string){
		"limit_milliseconds": checker.whole(&milliseconds, 1, int(LongestLimit/time.Millisecond)),
		"max_prompt_tokens":  checker.whole(&service.MaxPromptTokens, 1, 10_000_000),
		"max_pieces":         checker.whole(&service.MaxPieces, 1, 1_000_000),
		"in_flight":          checker.whole(&service.InFlight, 1, 1_000_000),
		"tries":              checker.whole(&service.Tries, 1, 10),
	})
	if milliseconds > 0 {
		service.Limit = time.Duration(milliseconds) * time.Millisecond
	}
	checker.configuration.Services[service.Name] = service
}

func (checker *checker) route(value *fastjson.Value, path string) {
	route := Route{Name: lastName(path), To: Target{HomeFirst: true}}
	seenTo := false
	if !checker.fields(value, path, map[string]func(*fastjson.Value, string){
		"order": checker.whole(&route.Order, 0, 1_000_000_000),
		"match": func(value *fastjson.Value, path string) {
			checker.fields(value, path, map[string]func(*fastjson.Value, string){
				"service":                checker.name(&route.Match.Service),
				"district":               checker.name(&route.Match.District),
				"origin":                 checker.name(&route.Match.Origin),
				"prefix":                 checker.name(&route.Match.Prefix),
				"prompt_tokens_at_least": checker.whole(&route.Match.PromptTokensAtLeast, 0, 10_000_000),
				"prompt_tokens_below":    checker.whole(&route.Match.PromptTokensBelow, 1, 10_000_000),
			})
		},
		"to": func(value *fastjson.Value, path string) {
			seenTo = true
			checker.fields(value, path, map[string]func(*fastjson.Value, string){
				"districts":  checker.names(&route.To.Districts),
				"home_first": checker.boolean(&route.To.HomeFirst),
				"refuse":     checker.boolean(&route.To.Refuse),
			})
		},
	}) {
		return
	}
	if !seenTo {
		checker.findings.add(trouble.Missing, path+"/to", "a route says where its inquiries go")
	}
	if route.To.Refuse && len(route.To.Districts) > 0 {
		checker.findings.add(trouble.Contradictory, path+"/to", "a route that refuses names no districts")
	}
	if below := route.Match.PromptTokensBelow; below > 0 && route.Match.PromptTokensAtLeast >= below {
		checker.findings.add(trouble.Contradictory, path+"/match", "no prompt is at least "+
			strconv.Itoa(route.Match.PromptTokensAtLeast)+" and below "+strconv.Itoa(below))
	}
	checker.configuration.Routes = append(checker.configuration.Routes, route)
}

func (checker *checker) evacuation(value *fastjson.Value, path string) {
	evacuation := Evacuation{District: lastName(path)}
	checker.fields(value, path, map[string]func(*fastjson.Value, string){
		"reason": func(value *fastjson.Value, path string) {
			text, failure := value.StringBytes()
			if failure != nil {
				checker.findings.add(trouble.WrongType, path, "a text is needed")
				return
			}
			evacuation.Reason = string(text)
		},
	})
	checker.configuration.Evacuations[evacuation.District] = evacuation
}

func (checker *checker) whole(target *int, least, most int) func(*fastjson.Value, string) {
	return func(value *fastjson.Value, path string) {
		number, failure := value.Int()
		if failure != nil {
			checker.findings.add(trouble.WrongType, path, "a whole number is needed")
			return
		}
		if number < least || number > most {
			checker.findings.add(trouble.OutOfRange, path, "the number must be from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
			return
		}
		*target = number
	}
}

func (checker *checker) boolean(target *bool) func(*fastjson.Value, string) {
	return func(value *fastjson.Value, path string) {
		decided, failure := value.Bool()
		if failure != nil {
			checker.findings.add(trouble.WrongType, path, "true or false is needed")
			return
		}
		*target = decided
	}
}

func (checker *checker) name(target *string) func(*fastjson.Value, string) {
	return func(value *fastjson.Value, path string) {
		text, failure := value.StringBytes()
		if failure != nil {
			checker.findings.add(trouble.WrongType, path, "a name is needed")
			return
		}
		if !nameShape.Match(text) {
			checker.findings.add(trouble.OutOfRange, path, "a name has letters, digits, dots, dashes and underscores, 128 at most")
			return
		}
		*target = string(text)
	}
}

func (checker *checker) names(target *[]string) func(*fastjson.Value, string) {
	return func(value *fastjson.Value, path string) {
		entries, failure := value.Array()
		if failure != nil {
			checker.findings.add(trouble.WrongType, path, "a list of names is needed")
			return
		}
		seen := map[string]bool{}
		for position, entry := range entries {
			var name string
			entryPath := path + "/" + strconv.Itoa(position)
			checker.name(&name)(entry, entryPath)
			if name != "" && seen[name] {
				checker.findings.add(trouble.Contradictory, entryPath, "the name stands twice")
			}
			seen[name] = true
			*target = append(*target, name)
		}
	}
}
