package auction

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// RouteTable is a configuration compiled for matching requests: for each service the
// steps of its routes, in order. It is immutable; a new configuration is a new table.
type RouteTable struct {
	epoch       uint64
	number      uint64
	services    map[string]*serviceRoutes
	evacuations map[string]bool
}

type serviceRoutes struct {
	service config.Service
	steps   []step
}

// opcode is what one step of a compiled route does.
type opcode uint8

const (
	// The needs skip to the next route when the request does not meet them.
	needZone opcode = iota
	needClient
	needPrefix
	needAtLeast
	needBelow
	// The actions end the interpretation.
	actRefuse
	actSend
)

// step is one need or action; next is the position of the next route's first step.
type step struct {
	code   opcode
	text   string
	number int
	next   int
	route  *RouteDecision
}

// RouteDecision is what the route that matched says of a request.
type RouteDecision struct {
	// Route is the route's name.
	Route   string
	Service config.Service
	// Zones are the zones whose servers may be used; nil allows all.
	Zones map[string]bool
	// HomeFirst prefers servers in the router's own zone.
	HomeFirst bool
}

// Compile makes the route table of a configuration, whose version is epoch and number.
func Compile(configuration *config.Configuration, epoch, number uint64) *RouteTable {
	table := &RouteTable{
		epoch:       epoch,
		number:      number,
		services:    map[string]*serviceRoutes{},
		evacuations: map[string]bool{},
	}
	for zone := range configuration.Evacuations {
		table.evacuations[zone] = true
	}
	for name, service := range configuration.Services {
		table.services[name] = &serviceRoutes{service: service}
	}
	for _, route := range configuration.Routes {
		if route.Calls != nil {
			continue
		}
		if route.Match.Service != "" {
			table.services[route.Match.Service].add(route)
			continue
		}
		for _, compiled := range table.services {
			compiled.add(route)
		}
	}
	return table
}

func (c *serviceRoutes) add(route config.Route) {
	first := len(c.steps)
	need := func(wanted bool, code opcode, text string, number int) {
		if wanted {
			c.steps = append(c.steps, step{code: code, text: text, number: number})
		}
	}
	match := route.Match
	need(match.Zone != "", needZone, match.Zone, 0)
	need(match.Client != "", needClient, match.Client, 0)
	need(match.Prefix != "", needPrefix, match.Prefix, 0)
	need(match.PromptTokensAtLeast > 0, needAtLeast, "", match.PromptTokensAtLeast)
	need(match.PromptTokensBelow > 0, needBelow, "", match.PromptTokensBelow)
	decision := &RouteDecision{Route: route.Name, Service: c.service, HomeFirst: route.To.PreferOwnZone}
	code := actSend
	if route.To.Refuse {
		code = actRefuse
	}
	if len(route.To.Zones) > 0 {
		decision.Zones = map[string]bool{}
		for _, zone := range route.To.Zones {
			decision.Zones[zone] = true
		}
	}
	c.steps = append(c.steps, step{code: code, route: decision})
	for position := first; position < len(c.steps); position++ {
		c.steps[position].next = len(c.steps)
	}
}

// Match finds the first route for a request that arrived at a router in a zone. Its
// errors are failure.UnknownService, OutOfRange, NoRoute and RouteRefuses.
func (p *RouteTable) Match(request *Request, zone string) (*RouteDecision, *failure.Error) {
	compiled, found := p.services[request.Service]
	if !found {
		return nil, failure.New(failure.UnknownService, request.Service)
	}
	if request.PromptTokens > compiled.service.MaxPromptTokens {
		return nil, failure.At(failure.OutOfRange, "/prompt_tokens", "the service takes fewer tokens")
	}
	if request.Chunks > compiled.service.MaxChunks {
		return nil, failure.At(failure.OutOfRange, "/pieces", "the service makes fewer pieces")
	}
	for position := 0; position < len(compiled.steps); {
		s := &compiled.steps[position]
		matches := true
		switch s.code {
		case needZone:
			matches = zone == s.text
		case needClient:
			matches = request.Client == s.text
		case needPrefix:
			matches = request.Prefix == s.text
		case needAtLeast:
			matches = request.PromptTokens >= s.number
		case needBelow:
			matches = request.PromptTokens < s.number
		case actRefuse:
			return s.route, failure.New(failure.RouteRefuses, s.route.Route)
		case actSend:
			return s.route, nil
		}
		if matches {
			position++
		} else {
			position = s.next
		}
	}
	return nil, failure.New(failure.NoRoute, "no route matches the inquiry")
}

// Allows tells whether the route lets work go to a server, and its zone is not evacuated.
func (p *RouteTable) Allows(route *RouteDecision, server membership.Server) bool {
	return !p.evacuations[server.Zone] && (route.Zones == nil || route.Zones[server.Zone])
}

// deadline is the deadline of a request that came now: the requested one, but not later
// than the service's time limit.
func (r *RouteDecision) deadline(now, requested time.Time) time.Time {
	latest := now.Add(r.Service.Timeout)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}
