package scheduler

import (
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/membership"
)

// RouteTable is a configuration compiled for lookup. It is never altered; a new configuration is
// a new route table.
type RouteTable struct {
	// epoch and number are the configuration's version.
	epoch  uint64
	number uint64
	// hosts are the rules of each host, the longest path prefix first: the first that fits a
	// call's path counts.
	hosts    map[string][]*routeRule
	services map[string]*config.Service
	// serviceNames are the names of services, sorted.
	serviceNames []string
	evacuations  map[string]bool
	limits       config.Limits
	// tenants find the tenants of keys; nil if calls need no key.
	tenants *tenantTable
	// gaps are the shortest gaps between events that the routes to a service allow.
	gaps map[string]time.Duration
}

// routeRule is what a route says of its calls.
type routeRule struct {
	route *config.Route
	calls *config.CallRoute
	// shares are the services that share the route's calls; none if it refuses them.
	shares []share
	// total is the sum of the shares' weights.
	total uint64
	// zones are those whose servers may be used; nil means all.
	zones map[string]bool
}

// share is a service's part of a route's calls: the weights from the earlier share's upTo to
// its own.
type share struct {
	service *config.Service
	upTo    uint64
}

// Compile makes the route table of a checked configuration; epoch and number are its version.
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

func (rt *RouteTable) compileRule(route *config.Route) *routeRule {
	r := &routeRule{route: route, calls: route.Calls}
	for _, s := range route.Calls.Shares {
		service, found := rt.services[s.Service]
		if found && s.Weight > 0 {
			r.total += uint64(s.Weight)
			r.shares = append(r.shares, share{service: service, upTo: r.total})
			rt.noteGap(service.Name, route.Calls.MaxEventGap)
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

// allowsZone tells whether servers of a zone may be used.
func (r *routeRule) allowsZone(zone string) bool {
	return r.zones == nil || r.zones[zone]
}

// service is the one that serves a call, by the hash of its id where several share; nil if the
// route refuses it.
func (r *routeRule) service(call *Call) *config.Service {
	switch len(r.shares) {
	case 0:
		return nil
	case 1:
		return r.shares[0].service
	}
	spot := membership.Weight(r.route.Name, call.ID) % r.total
	for _, sh := range r.shares {
		if spot < sh.upTo {
			return sh.service
		}
	}
	return nil
}

// noteGap keeps the shortest gap between events that a route to a service allows.
func (rt *RouteTable) noteGap(service string, gap time.Duration) {
	if known, found := rt.gaps[service]; gap > 0 && (!found || gap < known) {
		rt.gaps[service] = gap
	}
}

// rule finds a call's route and the service that serves it; nil if none does.
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

// hostOf is a host without its port, in lower case.
func hostOf(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// later tells whether the route table is of a later version than the other one.
func (rt *RouteTable) later(other *RouteTable) bool {
	return other == nil || rt.epoch > other.epoch || rt.epoch == other.epoch && rt.number > other.number
}
