package scheduler

import (
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// RouteTable is a configuration compiled for lookup. It is immutable; a new configuration gets a
// new route table.
type RouteTable struct {
	// epoch and number are the configuration's version.
	epoch  uint64
	number uint64
	// hosts holds the rules of each host, the longest path prefix first. The first rule that matches
	// a call's path applies.
	hosts    map[string][]*routeRule
	services map[string]*config.Service
	// serviceNames are the names of the services, sorted.
	serviceNames []string
	// evacuations holds the evacuated zones.
	evacuations map[string]bool
	limits      config.Limits
	// tenants finds the tenants by their keys; nil if calls need no key.
	tenants *tenantTable
	// gaps holds, for each service, the shortest gap between events that a route to it allows.
	gaps map[string]time.Duration
}

// routeRule is a compiled route.
type routeRule struct {
	route *config.Route
	calls *config.CallRoute
	// shares are the services that share the route's calls; empty if the route refuses calls.
	shares []share
	// total is the sum of the shares' weights.
	total uint64
	// zones are the zones whose servers may be used; nil means all.
	zones map[string]bool
}

// share is a service's share of a route's calls: those whose hash, modulo the rule's total, is at
// least the previous share's upperWeight and less than its own upperWeight.
type share struct {
	service     *config.Service
	upperWeight uint64
}

// Compile makes the route table of a valid configuration; epoch and number are its version.
func Compile(configuration *config.Configuration, epoch, number uint64) *RouteTable {
	rt := &RouteTable{
		epoch:       epoch,
		number:      number,
		hosts:       map[string][]*routeRule{},
		services:    map[string]*config.Service{},
		evacuations: map[string]bool{},
		limits:      configuration.Limits,
		tenants:     compileTenants(configuration.Tenants),
		gaps:        map[string]time.Duration{},
	}
	for zone := range configuration.Evacuations {
		rt.evacuations[zone] = true
	}
	for name, service := range configuration.Services {
		service.Name = name
		rt.services[name] = &service
		rt.serviceNames = append(rt.serviceNames, name)
	}
	sort.Strings(rt.serviceNames)
	for position := range configuration.Routes {
		route := &configuration.Routes[position]
		if route.Calls != nil && route.Match.Host != "" {
			host := strings.ToLower(route.Match.Host)
			rt.hosts[host] = append(rt.hosts[host], rt.compileRule(route))
		}
	}
	for _, rules := range rt.hosts {
		sort.SliceStable(rules, func(left, right int) bool {
			first, second := rules[left].route.Match.PathPrefix, rules[right].route.Match.PathPrefix
			if len(first) != len(second) {
				return len(first) > len(second)
			}
			return first < second
		})
	}
	return rt
}

// compileRule compiles a route.
func (rt *RouteTable) compileRule(route *config.Route) *routeRule {
	r := &routeRule{route: route, calls: route.Calls}
	for _, s := range route.Calls.Shares {
		service, found := rt.services[s.Service]
		if found && s.Weight > 0 {
			r.total += uint64(s.Weight)
			r.shares = append(r.shares, share{service: service, upperWeight: r.total})
			rt.recordEventGap(service.Name, route.Calls.MaxEventGap)
		}
	}
	if route.To.Refuse {
		r.shares = nil
	}
	if len(route.To.Zones) > 0 {
		r.zones = map[string]bool{}
		for _, zone := range route.To.Zones {
			r.zones[zone] = true
		}
	}
	return r
}

// allowsZone reports whether servers of a zone may be used.
func (r *routeRule) allowsZone(zone string) bool {
	return r.zones == nil || r.zones[zone]
}

// service selects the service that serves a call; nil if the route refuses the call. If several
// services share the route, the hash of the route's name and the call's ID decides.
func (r *routeRule) service(call *Call) *config.Service {
	switch len(r.shares) {
	case 0:
		return nil
	case 1:
		return r.shares[0].service
	}
	point := membership.Weight(r.route.Name, call.ID) % r.total
	for _, sh := range r.shares {
		if point < sh.upperWeight {
			return sh.service
		}
	}
	return nil
}

// recordEventGap records a gap between events that a route to a service allows, if it is the
// shortest.
func (rt *RouteTable) recordEventGap(service string, gap time.Duration) {
	if known, found := rt.gaps[service]; gap > 0 && (!found || gap < known) {
		rt.gaps[service] = gap
	}
}

// rule finds a call's route and the service that serves the call. Both are nil if no route matches,
// or if the first matching route refuses the call.
func (rt *RouteTable) rule(call *Call) (*routeRule, *config.Service) {
	for _, r := range rt.hosts[hostOf(call.Host)] {
		if !strings.HasPrefix(call.Path, r.route.Match.PathPrefix) {
			continue
		}
		if service := r.service(call); service != nil {
			return r, service
		}
		return nil, nil
	}
	return nil, nil
}

// hostOf returns a host without its port, in lower case.
func hostOf(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// later reports whether the route table has a later version than other. It is true if other is nil.
func (rt *RouteTable) later(other *RouteTable) bool {
	return other == nil || rt.epoch > other.epoch || rt.epoch == other.epoch && rt.number > other.number
}
