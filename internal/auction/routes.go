package auction

import (
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// RouteTable is a configuration compiled for matching requests: for each service it holds
// the steps of the routes in order. It is immutable; each configuration has its own table.
type RouteTable struct {
	epoch       uint64
	number      uint64
	services    map[string]*serviceRoutes
	evacuations map[string]bool
}

// serviceRoutes holds one service and the steps of all routes that can match its requests.
type serviceRoutes struct {
	service config.Service
	steps   []step
}

// opcode is the operation of one step of a compiled route.
type opcode uint8

const (
	// A condition that the request does not meet skips to the next route.
	conditionZone opcode = iota
	conditionClient
	conditionPrefix
	conditionPromptTokensAtLeast
	conditionPromptTokensBelow
	// An action ends the matching.
	actionRefuse
	actionSend
)

// step is one condition or action; next is the index of the next route's first step.
type step struct {
	code   opcode
	text   string
	number int
	next   int
	route  *RouteDecision
}

// RouteDecision is the target of the route that matched a request.
type RouteDecision struct {
	// Route is the name of the route.
	Route   string
	Service config.Service
	// Zones are the zones whose servers may be used; nil allows all zones.
	Zones map[string]bool
	// HomeFirst prefers prefill servers in the router's own zone.
	HomeFirst bool
}

// Compile returns the route table of a configuration. Epoch and number are the version of the
// configuration. Routes for opaque calls are left out: package scheduler compiles them.
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

func (s *serviceRoutes) add(route config.Route) {
	first := len(s.steps)
	addCondition := func(present bool, code opcode, text string, number int) {
		if present {
			s.steps = append(s.steps, step{code: code, text: text, number: number})
		}
	}
	match := route.Match
	addCondition(match.Zone != "", conditionZone, match.Zone, 0)
	addCondition(match.Client != "", conditionClient, match.Client, 0)
	addCondition(match.Prefix != "", conditionPrefix, match.Prefix, 0)
	addCondition(match.PromptTokensAtLeast > 0, conditionPromptTokensAtLeast, "", match.PromptTokensAtLeast)
	addCondition(match.PromptTokensBelow > 0, conditionPromptTokensBelow, "", match.PromptTokensBelow)
	decision := &RouteDecision{Route: route.Name, Service: s.service, HomeFirst: route.To.PreferOwnZone}
	code := actionSend
	if route.To.Refuse {
		code = actionRefuse
	}
	if len(route.To.Zones) > 0 {
		decision.Zones = map[string]bool{}
		for _, zone := range route.To.Zones {
			decision.Zones[zone] = true
		}
	}
	s.steps = append(s.steps, step{code: code, route: decision})
	for position := first; position < len(s.steps); position++ {
		s.steps[position].next = len(s.steps)
	}
}

// Match returns the decision of the first route that matches a request at a router in the
// given zone. Its error codes are failure.UnknownService, OutOfRange, NoRoute and
// RouteRefuses.
func (t *RouteTable) Match(request *Request, zone string) (*RouteDecision, *failure.Error) {
	compiled, found := t.services[request.Service]
	if !found {
		return nil, failure.New(failure.UnknownService, request.Service)
	}
	if request.PromptTokens > compiled.service.MaxPromptTokens {
		return nil, failure.At(failure.OutOfRange, "/prompt_tokens", "the prompt is longer than the service allows")
	}
	if request.Chunks > compiled.service.MaxChunks {
		return nil, failure.At(failure.OutOfRange, "/pieces", "the service allows fewer chunks")
	}
	for position := 0; position < len(compiled.steps); {
		s := &compiled.steps[position]
		matches := true
		switch s.code {
		case conditionZone:
			matches = zone == s.text
		case conditionClient:
			matches = request.Client == s.text
		case conditionPrefix:
			matches = request.Prefix == s.text
		case conditionPromptTokensAtLeast:
			matches = request.PromptTokens >= s.number
		case conditionPromptTokensBelow:
			matches = request.PromptTokens < s.number
		case actionRefuse:
			return s.route, failure.New(failure.RouteRefuses, s.route.Route)
		case actionSend:
			return s.route, nil
		}
		if matches {
			position++
		} else {
			position = s.next
		}
	}
	return nil, failure.New(failure.NoRoute, "no route matches the request")
}

// Allows reports whether the route allows a server's zone and the zone is not evacuated.
func (t *RouteTable) Allows(route *RouteDecision, server membership.Server) bool {
	return !t.evacuations[server.Zone] && (route.Zones == nil || route.Zones[server.Zone])
}

// deadline returns the deadline of a request that arrived now: the requested deadline, but
// at most the service's timeout from now.
func (r *RouteDecision) deadline(now, requested time.Time) time.Time {
	latest := now.Add(r.Service.Timeout)
	if requested.IsZero() || requested.After(latest) {
		return latest
	}
	return requested
}
