package scheduler

import (
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// RouteTable is a configuration compiled for lookup: for each host the steps of its routes,
// the longest path prefix first. It is never altered; a new configuration is a new route
// table.
type RouteTable struct {
	epoch        uint64
	number       uint64
	hosts        map[string][]step
	services     map[string]*config.Service
	serviceNames []string
	evacuations  map[string]bool
	limits       config.Limits
	// gaps are the shortest gaps between events that the routes to a service allow.
	gaps map[string]time.Duration
}

// step is one instruction of a host's routes.
type step struct {
	code opcode
	text string
	// next is the step where a needPrefix that does not hold goes on.
	next      int
	routeRule *routeRule
}

// opcode is what a step does.
type opcode uint8

const (
	// needPrefix goes on to the next route when the path begins otherwise.
	needPrefix opcode = iota
	// actSend has the one service serve the call, actShare the service that the
	// call's id falls to, actRefuse none.
	actSend
	actShare
	actRefuse
)

// routeRule is what a route says of its calls.
type routeRule struct {
	route  *config.Route
	calls  *config.CallRoute
	shares []share
	total  uint64
	// zones are those whose servers may be used; nil means all.
	zones map[string]bool
}

func (r *routeRule) allowsZone(zone string) bool {
	return r.zones == nil || r.zones[zone]
}

type share struct {
	service *config.Service
	upTo    uint64
}

// Compile makes the route table of a checked configuration; epoch and number are its version.
func Compile(configuration *config.Configuration, epoch, number uint64) *RouteTable {
	program := &RouteTable{epoch: epoch, number: number, hosts: map[string][]step{}, services: map[string]*config.Service{},
		evacuations: map[string]bool{}, limits: configuration.Limits, gaps: map[string]time.Duration{}}
	for zone := range configuration.Evacuations {
		program.evacuations[zone] = true
	}
	for name, service := range configuration.Services {
		service.Name = name
		program.services[name] = &service
		program.serviceNames = append(program.serviceNames, name)
	}
	sort.Strings(program.serviceNames)
	byHost := map[string][]*config.Route{}
	for position := range configuration.Routes {
		route := &configuration.Routes[position]
		if route.Calls != nil && route.Match.Host != "" {
			host := strings.ToLower(route.Match.Host)
			byHost[host] = append(byHost[host], route)
		}
	}
	for host, routes := range byHost {
		sort.SliceStable(routes, func(left, right int) bool {
			first, second := routes[left].Match.PathPrefix, routes[right].Match.PathPrefix
			if len(first) != len(second) {
				return len(first) > len(second)
			}
			return first < second
		})
		var steps []step
		for _, route := range routes {
			steps = append(steps, program.steps(route, len(steps))...)
		}
		program.hosts[host] = steps
	}
	return program
}

func (p *RouteTable) steps(route *config.Route, at int) []step {
	r := &routeRule{route: route, calls: route.Calls}
	for _, part := range route.Calls.Shares {
		service, found := p.services[part.Service]
		if found && part.Weight > 0 {
			r.total += uint64(part.Weight)
			r.shares = append(r.shares, share{service: service, upTo: r.total})
			p.noteGap(service.Name, route.Calls.Gap)
		}
	}
	if len(route.To.Zones) > 0 {
		r.zones = map[string]bool{}
		for _, zone := range route.To.Zones {
			r.zones[zone] = true
		}
	}
	action := step{code: actSend, routeRule: r}
	switch {
	case route.To.Refuse || len(r.shares) == 0:
		action.code = actRefuse
	case len(r.shares) > 1:
		action.code = actShare
	}
	return []step{{code: needPrefix, text: route.Match.PathPrefix, next: at + 2}, action}
}

// noteGap keeps the shortest gap between events that a route to a service allows.
func (p *RouteTable) noteGap(service string, gap time.Duration) {
	if known, found := p.gaps[service]; gap > 0 && (!found || gap < known) {
		p.gaps[service] = gap
	}
}

// rule finds a call's route and the service that serves it; nil if none does.
func (p *RouteTable) rule(call *Call) (*routeRule, *config.Service) {
	steps := p.hosts[hostOf(call.Host)]
	for position := 0; position < len(steps); {
		s := &steps[position]
		switch s.code {
		case needPrefix:
			if !strings.HasPrefix(call.Path, s.text) {
				position = s.next
				continue
			}
			position++
		case actSend:
			return s.routeRule, s.routeRule.shares[0].service
		case actShare:
			spot := membership.Weight(s.routeRule.route.Name, call.ID) % s.routeRule.total
			for _, sh := range s.routeRule.shares {
				if spot < sh.upTo {
					return s.routeRule, sh.service
				}
			}
		case actRefuse:
			return nil, nil
		}
	}
	return nil, nil
}

// hostOf is a host without its port, in lower case.
func hostOf(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// later tells whether the route table is of a later version than the other one.
func (p *RouteTable) later(other *RouteTable) bool {
	return other == nil || p.epoch > other.epoch || p.epoch == other.epoch && p.number > other.number
}
