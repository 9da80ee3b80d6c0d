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
	c := &checker{findings: findings, configuration: Empty(), places: map[callPlace]string{}}
	c.configuration.Text = append([]byte(nil), text...)
	c.root(root, place{})
	if len(findings.Troubles) > 0 {
		return nil, findings
	}
	routes := c.configuration.Routes
	sort.Slice(routes, func(left, right int) bool {
		if routes[left].Order != routes[right].Order {
			return routes[left].Order < routes[right].Order
		}
		return routes[left].Name < routes[right].Name
	})
	return c.configuration, nil
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
func (c *checker) fields(value *fastjson.Value, at place, visit func(name string, field *fastjson.Value, at place) bool) bool {
	if value.Type() != fastjson.TypeObject {
		c.findings.add(failure.WrongType, at.String(), "an object is needed, not "+value.Type().String())
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
			c.findings.add(failure.Contradictory, here.String(), "the field stands twice")
			return
		}
		if many != nil {
			many[name] = true
		} else {
			seen = append(seen, name)
		}
		if !visit(name, field, here) {
			c.findings.add(failure.UnknownField, here.String(), "no such field")
		}
	})
	return true
}

// named visits an object whose fields are named by the operator.
func (c *checker) named(value *fastjson.Value, at place, visit func(name string, field *fastjson.Value, at place)) {
	c.fields(value, at, func(name string, field *fastjson.Value, at place) bool {
		if !isName(name) {
			c.findings.add(failure.OutOfRange, at.String(), nameRule)
			return true
		}
		visit(name, field, at)
		return true
	})
}

func (c *checker) root(root *fastjson.Value, at place) {
	c.fields(root, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "services":
			c.named(value, at, c.service)
		case "routes":
			c.named(value, at, c.route)
		case "evacuations":
			c.named(value, at, c.evacuation)
		case "revision":
			c.revision(value, at)
		case "limits":
			c.limits(value, at)
		case "annotations":
			c.annotations(value, at)
		default:
			return false
		}
		return true
	})
	for _, route := range c.configuration.Routes {
		if _, found := c.configuration.Services[route.Match.Service]; route.Match.Service != "" && !found {
			c.findings.add(failure.Contradictory, place{}.field("routes").field(route.Name).field("match").field("service").String(), "no service "+route.Match.Service)
		}
		if route.Calls == nil {
			continue
		}
		for position, share := range route.Calls.Shares {
			if _, found := c.configuration.Services[share.Service]; share.Service != "" && !found {
				c.findings.add(failure.Contradictory, place{}.field("routes").field(route.Name).field("calls").field("shares").field(strconv.Itoa(position)).field("service").String(), "no service "+share.Service)
			}
		}
	}
}

func (c *checker) revision(value *fastjson.Value, at place) {
	revision, err := value.Uint64()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a whole number is needed")
		return
	}
	c.configuration.Revision = revision
}

func (c *checker) limits(value *fastjson.Value, at place) {
	limits := &c.configuration.Limits
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "header_bytes":
			c.whole(&limits.HeaderBytes, 1, 1<<30, value, at)
		case "body_bytes":
			c.whole(&limits.BodyBytes, 1, 1<<40, value, at)
		case "header_patience_milliseconds":
			c.milliseconds(&limits.HeaderPatience, 1, LongestCallLimit, value, at)
		case "idle_patience_milliseconds":
			c.milliseconds(&limits.IdlePatience, 1, LongestCallLimit, value, at)
		default:
			return false
		}
		return true
	})
}

// annotations are kept for those who wrote them, and never read.
func (c *checker) annotations(value *fastjson.Value, at place) {
	if value.Type() != fastjson.TypeObject {
		c.findings.add(failure.WrongType, at.String(), "an object is needed, not "+value.Type().String())
	}
}

func (c *checker) service(name string, value *fastjson.Value, at place) {
	service := Service{Name: name, Limit: DefaultLimit, MaxPromptTokens: DefaultMaxPromptTokens,
		MaxChunks: DefaultMaxChunks, InFlight: DefaultInFlight, Attempts: DefaultAttempts}
	var milliseconds int
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "limit_milliseconds":
			c.whole(&milliseconds, 1, int(LongestLimit/time.Millisecond), value, at)
		case "max_prompt_tokens":
			c.whole(&service.MaxPromptTokens, 1, 10_000_000, value, at)
		case "max_pieces":
			c.whole(&service.MaxChunks, 1, 1_000_000, value, at)
		case "in_flight":
			c.whole(&service.InFlight, 1, 1_000_000, value, at)
		case "tries":
			c.whole(&service.Attempts, 1, 10, value, at)
		case "health":
			c.path(&service.Health, value, at)
		case "circuits":
			c.whole(&service.Connections, 0, 1_000_000, value, at)
		case "warming":
			c.warming(&service.Warming, value, at)
		case "engine":
			c.engine(&service.Engine, value, at)
		case "ids_used_once":
			c.boolean(&service.IDsUsedOnce, value, at)
		case "annotations":
			c.annotations(value, at)
		default:
			return false
		}
		return true
	})
	if milliseconds > 0 {
		service.Limit = time.Duration(milliseconds) * time.Millisecond
	}
	c.configuration.Services[service.Name] = service
}

func (c *checker) warming(warming *Warming, value *fastjson.Value, at place) {
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "length_milliseconds":
			c.milliseconds(&warming.Length, 0, LongestCallLimit, value, at)
		case "per_second":
			c.fraction(&warming.PerSecond, value, at)
		default:
			return false
		}
		return true
	})
}

func (c *checker) engine(engine *Engine, value *fastjson.Value, at place) {
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "slots":
			c.whole(&engine.Slots, 0, 1_000_000, value, at)
		case "memory_tokens":
			c.whole(&engine.MemoryTokens, 0, 1<<40, value, at)
		case "token_bytes":
			c.whole(&engine.TokenBytes, 0, 1<<40, value, at)
		case "link_bits":
			c.fraction(&engine.LinkBits, value, at)
		case "tokens_a_piece":
			c.whole(&engine.TokensAChunk, 0, 1_000_000, value, at)
		case "handle_life_milliseconds":
			c.milliseconds(&engine.HandleLifetime, 0, LongestCallLimit, value, at)
		case "part_change_milliseconds":
			c.milliseconds(&engine.PartChange, 0, LongestCallLimit, value, at)
		case "models":
			c.texts(&engine.Models, value, at)
		default:
			return false
		}
		return true
	})
}

func (c *checker) route(name string, value *fastjson.Value, at place) {
	route := Route{Name: name, To: Target{HomeFirst: true}}
	seenTo := false
	if !c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "order":
			c.whole(&route.Order, 0, 1_000_000_000, value, at)
		case "match":
			c.match(&route.Match, value, at)
		case "to":
			seenTo = true
			c.target(&route.To, value, at)
		case "calls":
			route.Calls = &CallRoute{Attempts: DefaultAttempts}
			c.calls(route.Calls, value, at)
		case "annotations":
			c.annotations(value, at)
		default:
			return false
		}
		return true
	}) {
		return
	}
	if !seenTo && route.Calls == nil {
		c.findings.add(failure.Missing, at.field("to").String(), "a route says where its inquiries go")
	}
	if route.To.Refuse && len(route.To.Zones) > 0 {
		c.findings.add(failure.Contradictory, at.field("to").String(), "a route that refuses names no districts")
	}
	if below := route.Match.PromptTokensBelow; below > 0 && route.Match.PromptTokensAtLeast >= below {
		c.findings.add(failure.Contradictory, at.field("match").String(), "no prompt is at least "+
			strconv.Itoa(route.Match.PromptTokensAtLeast)+" and below "+strconv.Itoa(below))
	}
	c.place(&route, at)
	c.configuration.Routes = append(c.configuration.Routes, route)
}

// place checks where a route of calls stands: it has a host and a prefix, and no
// other route has both the same.
func (c *checker) place(route *Route, at place) {
	match := &route.Match
	if route.Calls == nil {
		if match.Host != "" || match.PathPrefix != "" {
			c.findings.add(failure.Missing, at.field("calls").String(), "a route with a host and a path prefix says how its calls are served")
		}
		return
	}
	if match.Host == "" {
		c.findings.add(failure.Missing, at.field("match").field("host").String(), "a route of calls names a host")
	}
	if match.PathPrefix == "" {
		c.findings.add(failure.Missing, at.field("match").field("path_prefix").String(), "a route of calls names a path prefix")
	}
	if match.Service != "" || match.Zone != "" || match.Client != "" || match.Prefix != "" || match.PromptTokensAtLeast > 0 || match.PromptTokensBelow > 0 {
		c.findings.add(failure.Contradictory, at.field("match").String(), "a route of calls matches by host and path prefix only")
	}
	if match.Host == "" || match.PathPrefix == "" {
		return
	}
	here := callPlace{host: match.Host, prefix: match.PathPrefix}
	if other, found := c.places[here]; found {
		c.findings.add(failure.Contradictory, at.field("match").String(), "the route "+other+" has the same host and path prefix")
		return
	}
	c.places[here] = route.Name
}

func (c *checker) calls(calls *CallRoute, value *fastjson.Value, at place) {
	var seenShares, seenLimit bool
	if !c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "shares":
			seenShares = true
			c.shares(calls, value, at)
		case "limit_milliseconds":
			seenLimit = true
			c.milliseconds(&calls.Limit, 1, LongestCallLimit, value, at)
		case "aim_milliseconds":
			c.milliseconds(&calls.Aim, 0, LongestCallLimit, value, at)
		case "gap_milliseconds":
			c.milliseconds(&calls.Gap, 0, LongestCallLimit, value, at)
		case "rank":
			c.whole(&calls.Rank, 0, 1_000_000, value, at)
		case "tries":
			c.whole(&calls.Attempts, 1, 1_000_000, value, at)
		case "streams":
			c.boolean(&calls.Streams, value, at)
		case "repeatable":
			c.boolean(&calls.Idempotent, value, at)
		case "resumable":
			c.boolean(&calls.Resumable, value, at)
		case "sticky":
			c.boolean(&calls.Sticky, value, at)
		default:
			return false
		}
		return true
	}) {
		return
	}
	if !seenShares {
		c.findings.add(failure.Missing, at.field("shares").String(), "a route of calls says which services serve it")
	}
	if !seenLimit {
		c.findings.add(failure.Missing, at.field("limit_milliseconds").String(), "a route of calls says how long a call is held")
	}
}

func (c *checker) shares(calls *CallRoute, value *fastjson.Value, at place) {
	entries, err := value.Array()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a list of services with their weights is needed")
		return
	}
	sum := 0
	calls.Shares = make([]Share, 0, len(entries))
	for position, entry := range entries {
		share := Share{Weight: 1}
		here := at.field(strconv.Itoa(position))
		c.fields(entry, here, func(name string, value *fastjson.Value, at place) bool {
			switch name {
			case "service":
				c.name(&share.Service, value, at)
			case "weight":
				c.whole(&share.Weight, 0, 1_000_000_000, value, at)
			default:
				return false
			}
			return true
		})
		if share.Service == "" {
			c.findings.add(failure.Missing, here.field("service").String(), "a share names a service")
		}
		sum += share.Weight
		calls.Shares = append(calls.Shares, share)
	}
	if sum == 0 {
		c.findings.add(failure.OutOfRange, at.String(), "the weights must not add up to 0")
	}
}

func (c *checker) match(match *Match, value *fastjson.Value, at place) {
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "service":
			c.name(&match.Service, value, at)
		case "district":
			c.name(&match.Zone, value, at)
		case "origin":
			c.name(&match.Client, value, at)
		case "prefix":
			c.name(&match.Prefix, value, at)
		case "host":
			c.host(&match.Host, value, at)
		case "path_prefix":
			c.pathPrefix(&match.PathPrefix, value, at)
		case "prompt_tokens_at_least":
			c.whole(&match.PromptTokensAtLeast, 0, 10_000_000, value, at)
		case "prompt_tokens_below":
			c.whole(&match.PromptTokensBelow, 1, 10_000_000, value, at)
		default:
			return false
		}
		return true
	})
}

func (c *checker) target(target *Target, value *fastjson.Value, at place) {
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		switch name {
		case "districts":
			c.names(&target.Zones, value, at)
		case "home_first":
			c.boolean(&target.HomeFirst, value, at)
		case "refuse":
			c.boolean(&target.Refuse, value, at)
		default:
			return false
		}
		return true
	})
}

func (c *checker) evacuation(name string, value *fastjson.Value, at place) {
	evacuation := Evacuation{Zone: name}
	c.fields(value, at, func(name string, value *fastjson.Value, at place) bool {
		if name == "annotations" {
			c.annotations(value, at)
			return true
		}
		if name != "reason" {
			return false
		}
		text, err := value.StringBytes()
		if err != nil {
			c.findings.add(failure.WrongType, at.String(), "a text is needed")
		}
		evacuation.Reason = string(text)
		return true
	})
	c.configuration.Evacuations[evacuation.Zone] = evacuation
}

func (c *checker) whole(target *int, least, most int, value *fastjson.Value, at place) {
	number, err := value.Int()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a whole number is needed")
		return
	}
	if number < least || number > most {
		c.findings.add(failure.OutOfRange, at.String(), "the number must be from "+strconv.Itoa(least)+" to "+strconv.Itoa(most))
		return
	}
	*target = number
}

func (c *checker) milliseconds(target *time.Duration, least int, most time.Duration, value *fastjson.Value, at place) {
	number := -1
	c.whole(&number, least, int(most/time.Millisecond), value, at)
	if number >= 0 {
		*target = time.Duration(number) * time.Millisecond
	}
}

func (c *checker) fraction(target *float64, value *fastjson.Value, at place) {
	number, err := value.Float64()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a number is needed")
		return
	}
	if !(number >= 0 && number <= math.MaxInt64) {
		c.findings.add(failure.OutOfRange, at.String(), "the number must not be negative, nor beyond all measure")
		return
	}
	*target = number
}

// text takes a text without spaces or control characters.
func (c *checker) text(value *fastjson.Value, at place) (string, bool) {
	text, err := value.StringBytes()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a text is needed")
		return "", false
	}
	if len(text) == 0 || len(text) > longestText || bytes.ContainsFunc(text, func(letter rune) bool { return letter <= ' ' || letter == 0x7f }) {
		c.findings.add(failure.OutOfRange, at.String(), "the text has a letter at least, "+strconv.Itoa(longestText)+" bytes at most, and no spaces")
		return "", false
	}
	return string(text), true
}

// host takes a host's name; letters in it count alike in both cases.
func (c *checker) host(target *string, value *fastjson.Value, at place) {
	if text, taken := c.text(value, at); taken {
		*target = strings.ToLower(text)
	}
}

func (c *checker) pathPrefix(target *string, value *fastjson.Value, at place) {
	text, taken := c.text(value, at)
	if !taken {
		return
	}
	if !strings.HasPrefix(text, "/") || !strings.HasSuffix(text, "/") {
		c.findings.add(failure.OutOfRange, at.String(), "a path prefix begins and ends with a slash")
		return
	}
	*target = text
}

func (c *checker) path(target *string, value *fastjson.Value, at place) {
	text, taken := c.text(value, at)
	if !taken {
		return
	}
	if !strings.HasPrefix(text, "/") {
		c.findings.add(failure.OutOfRange, at.String(), "a path begins with a slash")
		return
	}
	*target = text
}

func (c *checker) texts(target *[]string, value *fastjson.Value, at place) {
	entries, err := value.Array()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a list of texts is needed")
		return
	}
	for position, entry := range entries {
		if text, taken := c.text(entry, at.field(strconv.Itoa(position))); taken {
			*target = append(*target, text)
		}
	}
}

func (c *checker) boolean(target *bool, value *fastjson.Value, at place) {
	decided, err := value.Bool()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "true or false is needed")
		return
	}
	*target = decided
}

func (c *checker) name(target *string, value *fastjson.Value, at place) {
	text, err := value.StringBytes()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a name is needed")
		return
	}
	if !isName(string(text)) {
		c.findings.add(failure.OutOfRange, at.String(), nameRule)
		return
	}
	*target = string(text)
}

func (c *checker) names(target *[]string, value *fastjson.Value, at place) {
	entries, err := value.Array()
	if err != nil {
		c.findings.add(failure.WrongType, at.String(), "a list of names is needed")
		return
	}
	for position, entry := range entries {
		var name string
		here := at.field(strconv.Itoa(position))
		c.name(&name, entry, here)
		if name != "" && slices.Contains(*target, name) {
			c.findings.add(failure.Contradictory, here.String(), "the name stands twice")
		}
		*target = append(*target, name)
	}
}
