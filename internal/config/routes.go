package config

import (
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"seamloom.example/seamloom/internal/failure"
)

// Route sends the requests that it matches to zones, or refuses them.
// Routes are asked by Order, then by name; the first that matches decides.
type Route struct {
	Name  string
	Order int
	Match Match
	To    Target
	// Calls says how opaque calls are served; nil for routes of requests.
	Calls *CallRoute
}

// CallRoute is a route of opaque calls: its match names a host and a path prefix.
type CallRoute struct {
	// Shares are the services that serve the calls, with their weights.
	Shares []Share
	// Timeout bounds a call from its arrival to its reply; at least a millisecond.
	Timeout time.Duration
	// LatencyTarget is the time within which a reply has its full worth; zero means
	// none was stated.
	LatencyTarget time.Duration
	// MaxEventGap is the longest interval between two events of a stream; zero means
	// none was stated.
	MaxEventGap time.Duration
	// Priority is the urgency among the routes: 0 is the most urgent.
	Priority int
	// MaxAttempts is how many servers one call may be sent to, the first included;
	// default DefaultAttempts.
	MaxAttempts int
	// Streams states that replies are streams of events.
	Streams bool
	// Idempotent states that a call may run more than once.
	Idempotent bool
	// Resumable states that a stream may go on at another server.
	Resumable bool
	// Sticky states that calls share parts of their prompts, so that a server's prefix
	// cache is worth returning to.
	Sticky bool
	// Public states that calls need no key, where the configuration has tenants.
	Public bool
}

// Share is a service and its weight among the shares of a route.
type Share struct {
	Service string
	Weight  int
}

// reaches tells whether the route may send something to the service.
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
	// Prefix is the name of a shared beginning of prompts.
	Prefix string
	// PromptTokensAtLeast and PromptTokensBelow bound the length of the prompt.
	PromptTokensAtLeast int
	PromptTokensBelow   int
	// Host and PathPrefix match opaque calls; of a host's routes the longest prefix
	// decides. A route has both or neither.
	Host       string
	PathPrefix string
}

// Target is what a route does with the requests that it matches.
type Target struct {
	// Zones are those whose servers may be used; none named means all.
	Zones []string
	// PreferOwnZone prefers servers in the router's own zone; default true.
	PreferOwnZone bool
	// Refuse refuses the request; no zones may be named with it.
	Refuse bool
}

func (c *checker) route(name string, value *fastjson.Value, at pointer) {
	route := Route{Name: name, To: Target{PreferOwnZone: true}}
	seenTo := false
	if !c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "order":
			c.integer(&route.Order, 0, 1_000_000_000, value, at)
		case "match":
			c.match(&route.Match, value, at)
		case "to":
			seenTo = true
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
	if !seenTo && route.Calls == nil {
		c.failures.add(failure.Missing, at.field("to").String(), "a route says where its inquiries go")
	}
	if route.To.Refuse && len(route.To.Zones) > 0 {
		c.failures.add(failure.Contradictory, at.field("to").String(), "a route that refuses names no districts")
	}
	if below := route.Match.PromptTokensBelow; below > 0 && route.Match.PromptTokensAtLeast >= below {
		c.failures.add(failure.Contradictory, at.field("match").String(), "no prompt is at least "+
			strconv.Itoa(route.Match.PromptTokensAtLeast)+" and below "+strconv.Itoa(below))
	}
	c.checkHostPath(&route, at)
	c.configuration.Routes = append(c.configuration.Routes, route)
}

// checkHostPath checks that a route of calls has a host and a path prefix, and that no
// other route has the same two: which of them served a call would be undefined.
func (c *checker) checkHostPath(route *Route, at pointer) {
	match := &route.Match
	if route.Calls == nil {
		if match.Host != "" || match.PathPrefix != "" {
			c.failures.add(failure.Missing, at.field("calls").String(),
				"a route with a host and a path prefix says how its calls are served")
		}
		return
	}
	if match.Host == "" {
		c.failures.add(failure.Missing, at.field("match").field("host").String(), "a route of calls names a host")
	}
	if match.PathPrefix == "" {
		c.failures.add(failure.Missing, at.field("match").field("path_prefix").String(), "a route of calls names a path prefix")
	}
	if *match != (Match{Host: match.Host, PathPrefix: match.PathPrefix}) {
		c.failures.add(failure.Contradictory, at.field("match").String(), "a route of calls matches by host and path prefix only")
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
	var seenShares, seenLimit bool
	if !c.fields(value, at, func(name string, value *fastjson.Value, at pointer) bool {
		switch name {
		case "shares":
			seenShares = true
			c.shares(calls, value, at)
		case "limit_milliseconds":
			seenLimit = true
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
	if !seenShares {
		c.failures.add(failure.Missing, at.field("shares").String(), "a route of calls says which services serve it")
	}
	if !seenLimit {
		c.failures.add(failure.Missing, at.field("limit_milliseconds").String(), "a route of calls says how long a call is held")
	}
}

func (c *checker) shares(calls *CallRoute, value *fastjson.Value, at pointer) {
	entries, err := value.Array()
	if err != nil {
		c.failures.add(failure.WrongType, at.String(), "a list of services with their weights is needed")
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
			c.failures.add(failure.Missing, here.field("service").String(), "a share names a service")
		}
		sum += share.Weight
		calls.Shares = append(calls.Shares, share)
	}
	if sum == 0 {
		c.failures.add(failure.OutOfRange, at.String(), "the weights must not add up to 0")
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
