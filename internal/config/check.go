package config

import (
	"bytes"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// parsers are used again: what they read is copied before they go back.
var parsers fastjson.ParserPool

// longestText bounds a text that is no name, such as a path.
const longestText = 4096

// MostBytes is the largest configuration that is read.
const MostBytes = 16 << 20

// Check reads a whole configuration; it returns either the configuration or
// *Findings with every failure's path and type.
func Check(text []byte) (*Configuration, error) {
	findings := &Findings{}
	if len(text) > MostBytes {
		findings.add(failure.Oversize, "/", "a configuration has at most "+strconv.Itoa(MostBytes)+" bytes")
		return nil, findings
	}
	if !utf8.Valid(text) {
		findings.add(failure.Malformed, "/", "the text is not UTF-8")
		return nil, findings
	}
	// The validator is stricter than the parser, which takes anything for a number.
	if err := fastjson.ValidateBytes(text); err != nil {
		findings.add(failure.Malformed, "/", err.Error())
		return nil, findings
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	root, err := parser.ParseBytes(text)
	if err != nil {
		findings.add(failure.Malformed, "/", err.Error())
		return nil, findings
	}
	checker := &checker{findings: findings, configuration: Empty(), places: map[callPlace]string{}}
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
	// places are the hosts and prefixes that routes of calls have, by route.
	places map[callPlace]string
}

// callPlace is where a route of calls stands: no two may share one.
type callPlace struct{ host, prefix string }

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
		checker.findings.add(failure.WrongType, at.String(), "an object is needed, not "+value.Type().String())
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
			checker.findings.add(failure.Contradictory, here.String(), "the field stands twice")
			return
		}
		if many != nil {
			many[name] = true
		} else {
			seen = append(seen, name)
		}
		if !visit(name, field, here) {
			checker.findings.add(failure.UnknownField, here.String(), "no such field")
		}
	})
	return true
}

// named visits an object whose fields are named by the operator.
func (checker *checker) named(value *fastjson.Value, at place, visit func(name string, field *fastjson.Value, at place)) {
	checker.fields(value, at, func(name string, field *fastjson.Value, at place) bool {
		if !isName(name) {
			checker.findings.add(failure.OutOfRange, at.String(), nameRule)
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
		case "revision":
			checker.revision(value, at)
		case "limits":
			checker.limits(value, at)
		case "annotations":
			checker.annotations(value, at)
		default:
			return false
		}
		return true
	})
	for _, route := range checker.configuration.Routes {
		if _, found := checker.configuration.Services[route.Match.Service]; route.Match.Service != "" && !found {
			checker.findings.add(failure.Contradictory, place{}.field("routes").field(route.Name).field("match").field("service").String(), "no service "+route.Match.Service)
		}
		if route.Calls == nil {
			continue
		}
		for position, share := range route.Calls.Shares {
			if _, found := checker.configuration.Services[share.Service]; share.Service != "" && !found {
				checker.findings.add(failure.Contradictory, place{}.field("routes").field(route.Name).field("calls").field("shares").field(strconv.Itoa(position)).field("service").String(), "no service "+share.Service)
			}
		}
	}
}

func (checker *checker) revision(value *fastjson.Value, at place) {
	revision, err := value.Uint64()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a whole number is needed")
		return
	}
	checker.configuration.Revision = revision
}

func (checker *checker) limits(value *fastjson.Value, at place) {
	limits := &checker.configuration.Limits
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "header_bytes":
			checker.whole(&limits.HeaderBytes, 1, 1<<30, value, at)
		case "body_bytes":
			checker.whole(&limits.BodyBytes, 1, 1<<40, value, at)
		case "header_patience_milliseconds":
			checker.milliseconds(&limits.HeaderPatience, 1, LongestCallLimit, value, at)
		case "idle_patience_milliseconds":
			checker.milliseconds(&limits.IdlePatience, 1, LongestCallLimit, value, at)
		default:
			return false
		}
		return true
	})
}

// annotations are kept for those who wrote them, and never read.
func (checker *checker) annotations(value *fastjson.Value, at place) {
	if value.Type() != fastjson.TypeObject {
		checker.findings.add(failure.WrongType, at.String(), "an object is needed, not "+value.Type().String())
	}
}

func (checker *checker) service(name string, value *fastjson.Value, at place) {
	service := Service{Name: name, Limit: DefaultLimit, MaxPromptTokens: DefaultMaxPromptTokens,
		MaxChunks: DefaultMaxChunks, InFlight: DefaultInFlight, Tries: DefaultTries}
	var milliseconds int
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "limit_milliseconds":
			checker.whole(&milliseconds, 1, int(LongestLimit/time.Millisecond), value, at)
		case "max_prompt_tokens":
			checker.whole(&service.MaxPromptTokens, 1, 10_000_000, value, at)
		case "max_pieces":
			checker.whole(&service.MaxChunks, 1, 1_000_000, value, at)
		case "in_flight":
			checker.whole(&service.InFlight, 1, 1_000_000, value, at)
		case "tries":
			checker.whole(&service.Tries, 1, 10, value, at)
		case "health":
			checker.path(&service.Health, value, at)
		case "circuits":
			checker.whole(&service.Connections, 0, 1_000_000, value, at)
		case "warming":
			checker.warming(&service.Warming, value, at)
		case "engine":
			checker.engine(&service.Engine, value, at)
		case "ids_used_once":
			checker.boolean(&service.IDsUsedOnce, value, at)
		case "annotations":
			checker.annotations(value, at)
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

func (checker *checker) warming(warming *Warming, value *fastjson.Value, at place) {
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "length_milliseconds":
			checker.milliseconds(&warming.Length, 0, LongestCallLimit, value, at)
		case "per_second":
			checker.fraction(&warming.PerSecond, value, at)
		default:
			return false
		}
		return true
	})
}

func (checker *checker) engine(engine *Engine, value *fastjson.Value, at place) {
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "slots":
			checker.whole(&engine.Slots, 0, 1_000_000, value, at)
		case "memory_tokens":
			checker.whole(&engine.MemoryTokens, 0, 1<<40, value, at)
		case "token_bytes":
			checker.whole(&engine.TokenBytes, 0, 1<<40, value, at)
		case "link_bits":
			checker.fraction(&engine.LinkBits, value, at)
		case "tokens_a_piece":
			checker.whole(&engine.TokensAChunk, 0, 1_000_000, value, at)
		case "handle_life_milliseconds":
			checker.milliseconds(&engine.HandleLifetime, 0, LongestCallLimit, value, at)
		case "part_change_milliseconds":
			checker.milliseconds(&engine.PartChange, 0, LongestCallLimit, value, at)
		case "models":
			checker.texts(&engine.Models, value, at)
		default:
			return false
		}
		return true
	})
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
		case "calls":
			route.Calls = &CallRoute{Tries: DefaultTries}
			checker.calls(route.Calls, value, at)
		case "annotations":
			checker.annotations(value, at)
		default:
			return false
		}
		return true
	}) {
		return
	}
	if !seenTo && route.Calls == nil {
		checker.findings.add(failure.Missing, at.field("to").String(), "a route says where its inquiries go")
	}
	if route.To.Refuse && len(route.To.Zones) > 0 {
		checker.findings.add(failure.Contradictory, at.field("to").String(), "a route that refuses names no districts")
	}
	if below := route.Match.PromptTokensBelow; below > 0 && route.Match.PromptTokensAtLeast >= below {
		checker.findings.add(failure.Contradictory, at.field("match").String(), "no prompt is at least "+
			strconv.Itoa(route.Match.PromptTokensAtLeast)+" and below "+strconv.Itoa(below))
	}
	checker.place(&route, at)
	checker.configuration.Routes = append(checker.configuration.Routes, route)
}

// place checks where a route of calls stands: it has a host and a prefix, and no
// other route has both the same.
func (checker *checker) place(route *Route, at place) {
	match := &route.Match
	if route.Calls == nil {
		if match.Host != "" || match.PathPrefix != "" {
			checker.findings.add(failure.Missing, at.field("calls").String(), "a route with a host and a path prefix says how its calls are served")
		}
		return
	}
	if match.Host == "" {
		checker.findings.add(failure.Missing, at.field("match").field("host").String(), "a route of calls names a host")
	}
	if match.PathPrefix == "" {
		checker.findings.add(failure.Missing, at.field("match").field("path_prefix").String(), "a route of calls names a path prefix")
	}
	if match.Service != "" || match.Zone != "" || match.Client != "" || match.Prefix != "" || match.PromptTokensAtLeast > 0 || match.PromptTokensBelow > 0 {
		checker.findings.add(failure.Contradictory, at.field("match").String(), "a route of calls matches by host and path prefix only")
	}
	if match.Host == "" || match.PathPrefix == "" {
		return
	}
	here := callPlace{host: match.Host, prefix: match.PathPrefix}
	if other, found := checker.places[here]; found {
		checker.findings.add(failure.Contradictory, at.field("match").String(), "the route "+other+" has the same host and path prefix")
		return
	}
	checker.places[here] = route.Name
}

func (checker *checker) calls(calls *CallRoute, value *fastjson.Value, at place) {
	var seenShares, seenLimit bool
	if !checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "shares":
			seenShares = true
			checker.shares(calls, value, at)
		case "limit_milliseconds":
			seenLimit = true
			checker.milliseconds(&calls.Limit, 1, LongestCallLimit, value, at)
		case "aim_milliseconds":
			checker.milliseconds(&calls.Aim, 0, LongestCallLimit, value, at)
		case "gap_milliseconds":
			checker.milliseconds(&calls.Gap, 0, LongestCallLimit, value, at)
		case "rank":
			checker.whole(&calls.Rank, 0, 1_000_000, value, at)
		case "tries":
			checker.whole(&calls.Tries, 1, 1_000_000, value, at)
		case "streams":
			checker.boolean(&calls.Streams, value, at)
		case "repeatable":
			checker.boolean(&calls.Repeatable, value, at)
		case "resumable":
			checker.boolean(&calls.Resumable, value, at)
		case "sticky":
			checker.boolean(&calls.Sticky, value, at)
		default:
			return false
		}
		return true
	}) {
		return
	}
	if !seenShares {
		checker.findings.add(failure.Missing, at.field("shares").String(), "a route of calls says which services serve it")
	}
	if !seenLimit {
		checker.findings.add(failure.Missing, at.field("limit_milliseconds").String(), "a route of calls says how long a call is held")
	}
}

func (checker *checker) shares(calls *CallRoute, value *fastjson.Value, at place) {
	entries, err := value.Array()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a list of services with their weights is needed")
		return
	}
	sum := 0
	calls.Shares = make([]Share, 0, len(entries))
	for position, entry := range entries {
		share := Share{Weight: 1}
		here := at.field(strconv.Itoa(position))
		checker.fields(entry, here, func(name string, value *fastjson.Value, at place) bool {
			switch name {
			case "service":
				checker.name(&share.Service, value, at)
			case "weight":
				checker.whole(&share.Weight, 0, 1_000_000_000, value, at)
			default:
				return false
			}
			return true
		})
		if share.Service == "" {
			checker.findings.add(failure.Missing, here.field("service").String(), "a share names a service")
		}
		sum += share.Weight
		calls.Shares = append(calls.Shares, share)
	}
	if sum == 0 {
		checker.findings.add(failure.OutOfRange, at.String(), "the weights must not add up to 0")
	}
}

func (checker *checker) match(match *Match, value *fastjson.Value, at place) {
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "service":
			checker.name(&match.Service, value, at)
		case "district":
			checker.name(&match.Zone, value, at)
		case "origin":
			checker.name(&match.Client, value, at)
		case "prefix":
			checker.name(&match.Prefix, value, at)
		case "host":
			checker.host(&match.Host, value, at)
		case "path_prefix":
			checker.pathPrefix(&match.PathPrefix, value, at)
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
			checker.names(&target.Zones, value, at)
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
	evacuation := Evacuation{Zone: name}
	checker.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		if name == "annotations" {
			checker.annotations(value, at)
			return true
		}
		if name != "reason" {
			return false
		}
		text, err := value.StringBytes()
		if err != nil {
			checker.findings.add(failure.WrongType, at.String(), "a text is needed")
		}
		evacuation.Reason = string(text)
		return true
	})
	checker.configuration.Evacuations[evacuation.Zone] = evacuation
}

func (checker *checker) whole(target *int, least, most int, value *fastjson.Value, at place) {
	number, err := value.Int()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a whole number is needed")
		return
	}
	if number < least || number > most {
		checker.findings.add(failure.OutOfRange, at.String(), "the number must be from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
		return
	}
	*target = number
}

func (checker *checker) milliseconds(target *time.Duration, least int, most time.Duration, value *fastjson.Value, at place) {
	number := -1
	checker.whole(&number, least, int(most/time.Millisecond), value, at)
	if number >= 0 {
		*target = time.Duration(number) * time.Millisecond
	}
}

func (checker *checker) fraction(target *float64, value *fastjson.Value, at place) {
	number, err := value.Float64()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a number is needed")
		return
	}
	if !(number >= 0 && number <= math.MaxInt64) {
		checker.findings.add(failure.OutOfRange, at.String(), "the number must not be negative, nor beyond all measure")
		return
	}
	*target = number
}

// text takes a text without spaces or control characters.
func (checker *checker) text(value *fastjson.Value, at place) (string, bool) {
	text, err := value.StringBytes()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a text is needed")
		return "", false
	}
	if len(text) == 0 || len(text) > longestText || bytes.ContainsFunc(text, func(letter rune) bool { return letter <= ' ' || letter == 0x7f }) {
		checker.findings.add(failure.OutOfRange, at.String(), "the text has a letter at least, "+strconv.Itoa(longestText)+" bytes at most, and no spaces")
		return "", false
	}
	return string(text), true
}

// host takes a host's name; letters in it count alike in both cases.
func (checker *checker) host(target *string, value *fastjson.Value, at place) {
	if text, taken := checker.text(value, at); taken {
		*target = strings.ToLower(text)
	}
}

func (checker *checker) pathPrefix(target *string, value *fastjson.Value, at place) {
	text, taken := checker.text(value, at)
	if !taken {
		return
	}
	if !strings.HasPrefix(text, "/") || !strings.HasSuffix(text, "/") {
		checker.findings.add(failure.OutOfRange, at.String(), "a path prefix begins and ends with a slash")
		return
	}
	*target = text
}

func (checker *checker) path(target *string, value *fastjson.Value, at place) {
	text, taken := checker.text(value, at)
	if !taken {
		return
	}
	if !strings.HasPrefix(text, "/") {
		checker.findings.add(failure.OutOfRange, at.String(), "a path begins with a slash")
		return
	}
	*target = text
}

func (checker *checker) texts(target *[]string, value *fastjson.Value, at place) {
	entries, err := value.Array()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a list of texts is needed")
		return
	}
	for position, entry := range entries {
		if text, taken := checker.text(entry, at.field(strconv.Itoa(position))); taken {
			*target = append(*target, text)
		}
	}
}

func (checker *checker) boolean(target *bool, value *fastjson.Value, at place) {
	decided, err := value.Bool()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "true or false is needed")
		return
	}
	*target = decided
}

func (checker *checker) name(target *string, value *fastjson.Value, at place) {
	text, err := value.StringBytes()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a name is needed")
		return
	}
	if !isName(string(text)) {
		checker.findings.add(failure.OutOfRange, at.String(), nameRule)
		return
	}
	*target = string(text)
}

func (checker *checker) names(target *[]string, value *fastjson.Value, at place) {
	entries, err := value.Array()
	if err != nil {
		checker.findings.add(failure.WrongType, at.String(), "a list of names is needed")
		return
	}
	for position, entry := range entries {
		var name string
		here := at.field(strconv.Itoa(position))
		checker.name(&name, entry, here)
		if name != "" && slices.Contains(*target, name) {
			checker.findings.add(failure.Contradictory, here.String(), "the name stands twice")
		}
		*target = append(*target, name)
	}
}
