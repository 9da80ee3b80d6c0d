package config

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Route sends the requests or opaque calls that it matches to zones, or rejects them.
// Routes of requests are evaluated by Order, then by name; the first route that matches is used.
// Routes of opaque calls are selected by host and path prefix (see Match).
type Route struct {
	Name  string
	Order int
	Match Match
	To    Target
	// Calls defines how opaque calls are served; nil for routes of requests.
	Calls *CallRoute
}

// CallRoute is a route of opaque calls: its match names a host and a path prefix.
type CallRoute struct {
	// Shares are the services that serve the calls, with their weights.
	Shares []Share
	// Timeout bounds a call from its arrival to its reply; at least a millisecond.
	Timeout time.Duration
	// LatencyTarget is the time within which a reply should arrive, because a later reply
	// is worth less to the client; zero means that none is configured.
	LatencyTarget time.Duration
	// MaxEventGap is the longest interval between two events of a stream; zero means
	// that none is configured.
	MaxEventGap time.Duration
	// Priority is the urgency among the routes: 0 is the most urgent.
	Priority int
	// MaxAttempts is how many servers one call may be sent to, the first included;
	// default DefaultAttempts.
	MaxAttempts int
	// Streams is set if replies are streams of events.
	Streams bool
	// Idempotent is set if a call may run more than once.
	Idempotent bool
	// Resumable is set if a stream may continue at another server.
	Resumable bool
	// Sticky is set if calls share parts of their prompts, so that later calls benefit from the
	// prefix cache of the server that served earlier calls.
	Sticky bool
	// Public is set if calls need no key even though the configuration has tenants.
	Public bool
}

// Share is a service and its weight among the shares of a route.
type Share struct {
	Service string
	Weight  int
}

// reaches reports whether the route may send requests or calls to the service.
func (r Route) reaches(service string) bool {
	if r.Calls == nil {
		return r.Match.Service == "" || r.Match.Service == service
	}
	for _, share := range r.Calls.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Match is the condition of a route. An empty or zero field matches everything.
type Match struct {
	Service string
	Zone    string
	Client  string
	// Prefix is the name of a prompt prefix that requests share.
	Prefix string
	// PromptTokensAtLeast and PromptTokensBelow bound the length of the prompt.
	PromptTokensAtLeast int
	PromptTokensBelow   int
	// Host and PathPrefix match opaque calls. Of the matching routes of a host, the one with the
	// longest prefix is used. A route has both fields or neither.
	Host       string
	PathPrefix string
}

// Target defines where a route sends the requests or opaque calls that it matches, or that it rejects
// them.
type Target struct {
	// Zones are the zones whose servers may be used; empty means all zones.
	Zones []string
	// PreferOwnZone prefers servers in the router's own zone; default true. Routes of opaque calls
	// ignore it.
	PreferOwnZone bool
	// Refuse rejects the requests or calls. A route with Refuse must not list zones.
	Refuse bool
}

func (c *checker) route(name string, value *fastjson.Value, at pointer) {
	route := Route{Name: name, To: Target{PreferOwnZone: true}}
	hasTarget := false
	if !c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "order":
			c.integer(&route.Order, 0, 1_000_000_000, value, at)
		case "match":
			c.match(&route.Match, value, at)
		case "to":
			hasTarget = true
			c.target(&route.To, value, at)
		case "calls":
			route.Calls = &CallRoute{MaxAttempts: DefaultAttempts}
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
	if !hasTarget && route.Calls == nil {
		c.failures.add(failure.Missing, at.field("to").String(), "a route must define where its requests are sent")
	}
	if route.To.Refuse && len(route.To.Zones) > 0 {
		c.failures.add(failure.Contradictory, at.field("to").String(), "a route with refuse must not list districts")
	}
	if below := route.Match.PromptTokensBelow; below > 0 && route.Match.PromptTokensAtLeast >= below {
		c.failures.add(failure.Contradictory, at.field("match").String(), "no prompt length is at least "+
			strconv.Itoa(route.Match.PromptTokensAtLeast)+" and below "+strconv.Itoa(below))
	}
	c.checkHostPath(&route, at)
	c.configuration.Routes = append(c.configuration.Routes, route)
}

// checkHostPath checks that only a route of calls has a host and a path prefix, that it has both and
// no other condition, and that no other route has the same host and path prefix. If two routes had
// the same host and path prefix, it would be undefined which of them serves a call.
func (c *checker) checkHostPath(route *Route, at pointer) {
	match := &route.Match
	if route.Calls == nil {
		if match.Host != "" || match.PathPrefix != "" {
			c.failures.add(failure.Missing, at.field("calls").String(),
				"a route with a host and a path prefix must define how its calls are served")
		}
		return
	}
	if match.Host == "" {
		c.failures.add(failure.Missing, at.field("match").field("host").String(), "a route of calls must have a host")
	}
	if match.PathPrefix == "" {
		c.failures.add(failure.Missing, at.field("match").field("path_prefix").String(), "a route of calls must have a path prefix")
	}
	if *match != (Match{Host: match.Host, PathPrefix: match.PathPrefix}) {
		c.failures.add(failure.Contradictory, at.field("match").String(), "a route of calls may only match by host and path prefix")
	}
	if match.Host == "" || match.PathPrefix == "" {
		return
	}
	here := hostPath{host: match.Host, prefix: match.PathPrefix}
	if other, found := c.hostPaths[here]; found {
		c.failures.add(failure.Contradictory, at.field("match").String(), "the route "+other+" has the same host and path prefix")
		return
	}
	c.hostPaths[here] = route.Name
}

func (c *checker) calls(calls *CallRoute, value *fastjson.Value, at pointer) {
	var hasShares, hasLimit bool
	if !c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "shares":
			hasShares = true
			c.shares(calls, value, at)
		case "limit_milliseconds":
			hasLimit = true
			c.milliseconds(&calls.Timeout, 1, MaxCallTimeout, value, at)
		case "aim_milliseconds":
			c.milliseconds(&calls.LatencyTarget, 0, MaxCallTimeout, value, at)
		case "gap_milliseconds":
			c.milliseconds(&calls.MaxEventGap, 0, MaxCallTimeout, value, at)
		case "rank":
			c.integer(&calls.Priority, 0, 1_000_000, value, at)
		case "tries":
			c.integer(&calls.MaxAttempts, 1, 1_000_000, value, at)
		case "streams":
			c.boolean(&calls.Streams, value, at)
		case "repeatable":
			c.boolean(&calls.Idempotent, value, at)
		case "resumable":
			c.boolean(&calls.Resumable, value, at)
		case "sticky":
			c.boolean(&calls.Sticky, value, at)
		case "public":
			c.boolean(&calls.Public, value, at)
		default:
			return false
		}
		return true
	}) {
		return
	}
	if !hasShares {
		c.failures.add(failure.Missing, at.field("shares").String(), "a route of calls must list the services that serve its calls")
	}
	if !hasLimit {
		c.failures.add(failure.Missing, at.field("limit_milliseconds").String(), "a route of calls must have a time limit")
	}
}

func (c *checker) shares(calls *CallRoute, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of services with their weights is required")
		return
	}
	sum := 0
	calls.Shares = make([]Share, 0, len(entries))
	for i, entry := range entries {
		share := Share{Weight: 1}
		here := at.field(strconv.Itoa(i))
		c.fields(entry, here, func(name string, value *fastjson.Value, at pointer) bool {
			switch name {
			case "service":
				c.name(&share.Service, value, at)
			case "weight":
				c.integer(&share.Weight, 0, 1_000_000_000, value, at)
			default:
				return false
			}
			return true
		})
		if share.Service == "" {
			c.failures.add(failure.Missing, here.field("service").String(), "a share must name a service")
		}
		sum += share.Weight
		calls.Shares = append(calls.Shares, share)
	}
	if sum == 0 {
		c.failures.add(failure.OutOfRange, at.String(), "the sum of the weights must not be 0")
	}
}

func (c *checker) match(match *Match, value *fastjson.Value, at pointer) {
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
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
			c.integer(&match.PromptTokensAtLeast, 0, 10_000_000, value, at)
		case "prompt_tokens_below":
			c.integer(&match.PromptTokensBelow, 1, 10_000_000, value, at)
		default:
			return false
		}
		return true
	})
}

func (c *checker) target(target *Target, value *fastjson.Value, at pointer) {
	c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "districts":
			c.names(&target.Zones, value, at)
		case "home_first":
			c.boolean(&target.PreferOwnZone, value, at)
		case "refuse":
			c.boolean(&target.Refuse, value, at)
		default:
			return false
		}
		return true
	})
}
