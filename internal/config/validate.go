package config

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Diagnostic is one result of ValidateAgainst: an error, which makes the fleet reject
// the configuration, or a warning, which does not.
type Diagnostic struct {
	Level string `json:"level"`
	failure.Error
}

// The levels of a diagnostic.
const (
	LevelError   = "error"
	LevelWarning = "warning"
)

// FleetState describes the running fleet.
type FleetState struct {
	// Servers are the model servers that the platform lists.
	Servers []ServerState
	// Restricted are the members that lack an enabled feature flag.
	Restricted []string
	// Stopped are the recorded routers that are not running.
	Stopped []string
	// Routers is the number of recorded routers.
	Routers int
	// Blocked are the feature flags that cannot be enabled yet because some members do not support them.
	Blocked []string
}

// ServerState describes one model server of a FleetState.
type ServerState struct {
	Name    string
	Zone    string
	Leaving bool
	// Reported is set if the server has reported its load. Only then are Role (prefill or decode),
	// Active (the number of running requests) and Slots (how many requests it runs at once) known.
	Reported bool
	Role     string
	Active   int
	Slots    int
}

// The codes of warnings. Some texts use older terms, such as "couriers" for routers, because operators'
// scripts depend on them.
const (
	UnknownZone       failure.Code = "unknown_district"
	NoServersLeft     failure.Code = "no_servers_left"
	NoServersOfRole   failure.Code = "no_part_left"
	LowCapacity       failure.Code = "little_room"
	RouteNeverReached failure.Code = "never_reached"
	NoRouteToService  failure.Code = "no_route_to_service"
	MixedFeatures     failure.Code = "mixed_formats"
	FewRouters        failure.Code = "few_couriers"
	ServiceRemoved    failure.Code = "service_disappears"
)

// ValidateAgainst checks a proposed configuration. If the configuration is valid, it also compares it
// with the state of the fleet and the current configuration, which may be nil. Errors are in the order of
// the text, warnings are sorted by path.
func ValidateAgainst(proposed []byte, current *Configuration, fleet FleetState) []Diagnostic {
	configuration, err := Check(proposed)
	var validation *ValidationError
	if errors.As(err, &validation) {
		var diagnostics []Diagnostic
		for _, finding := range validation.Failures {
			diagnostics = append(diagnostics, Diagnostic{Level: LevelError, Error: *finding})
		}
		return diagnostics
	}
	v := &fleetValidator{proposed: configuration, fleet: fleet, zones: map[string]int{}}
	for _, server := range fleet.Servers {
		if !server.Leaving {
			v.zones[server.Zone]++
		}
	}
	v.evacuations()
	v.routes()
	v.capacity()
	v.services(current)
	v.members()
	sort.SliceStable(v.diagnostics, func(a, b int) bool { return v.diagnostics[a].Path < v.diagnostics[b].Path })
	return v.diagnostics
}

// fleetValidator collects the warnings about a valid configuration.
type fleetValidator struct {
	proposed *Configuration
	fleet    FleetState
	// zones is the number of servers in each zone, without servers that are leaving.
	zones       map[string]int
	diagnostics []Diagnostic
}

func (v *fleetValidator) warn(code failure.Code, path, detail string) {
	v.diagnostics = append(v.diagnostics, Diagnostic{Level: LevelWarning, Error: *failure.At(code, path, detail)})
}

// evacuations warns about evacuated zones without servers.
func (v *fleetValidator) evacuations() {
	for zone := range v.proposed.Evacuations {
		if v.zones[zone] == 0 {
			v.warn(UnknownZone, "/evacuations/"+escapeToken(zone), "no listed server is in this zone")
		}
	}
}

// routes warns about routes of requests that are hidden by an earlier route, that name unknown zones or
// that have no servers left. It skips routes of opaque calls.
func (v *fleetValidator) routes() {
	// hiddenBy maps a service to the first route that matches all its requests; the empty string stands for all
	// services.
	hiddenBy := map[string]string{}
	for _, route := range v.proposed.Routes {
		if route.Calls != nil {
			continue
		}
		path := "/routes/" + escapeToken(route.Name)
		service := route.Match.Service
		if earlier, found := hiddenBy[""]; found {
			v.warn(RouteNeverReached, path, "the route "+earlier+" matches all requests first")
			continue
		}
		if earlier, found := hiddenBy[service]; found && service != "" {
			v.warn(RouteNeverReached, path, "the route "+earlier+" matches all requests for service "+service+" first")
			continue
		}
		if match := route.Match; match == (Match{Service: service}) {
			hiddenBy[service] = route.Name
		}
		if route.To.Refuse {
			continue
		}
		for i, zone := range route.To.Zones {
			if v.zones[zone] == 0 {
				v.warn(UnknownZone, path+"/to/districts/"+strconv.Itoa(i), "no listed server is in the zone "+zone)
			}
		}
		if v.serversLeft(route.To) == 0 {
			v.warn(NoServersLeft, path, "all its requests would be rejected: its zones have no servers left")
		}
	}
}

// serversLeft counts the servers in those of the target's zones that the proposed configuration does not
// evacuate. A target without zones means all zones.
func (v *fleetValidator) serversLeft(target Target) int {
	zones := target.Zones
	if len(zones) == 0 {
		zones = slices.Collect(maps.Keys(v.zones))
	}
	left := 0
	for _, zone := range zones {
		if !v.proposed.Evacuated(zone) {
			left += v.zones[zone]
		}
	}
	return left
}

// capacity warns if the evacuations leave no server of a role (prefill or decode), or if the requests that
// run now, including those in evacuated zones, exceed 80 percent of the remaining slots. It counts only servers
// that have reported their load and are not leaving.
func (v *fleetValidator) capacity() {
	byRole, remainingByRole := map[string]int{}, map[string]int{}
	active, slots, reported := 0, 0, 0
	for _, server := range v.fleet.Servers {
		if !server.Reported || server.Leaving {
			continue
		}
		reported++
		byRole[server.Role]++
		active += server.Active
		if !v.proposed.Evacuated(server.Zone) {
			remainingByRole[server.Role]++
			slots += server.Slots
		}
	}
	if reported == 0 || len(v.proposed.Evacuations) == 0 {
		return
	}
	for _, role := range []string{"prefill", "decode"} {
		if byRole[role] > 0 && remainingByRole[role] == 0 {
			v.warn(NoServersOfRole, "/evacuations", "no server with the role "+role+" is left until a server changes its role")
		}
	}
	if slots > 0 && active*10 > slots*8 {
		v.warn(LowCapacity, "/evacuations", "running requests occupy "+strconv.Itoa(active*100/slots)+" percent of the remaining slots")
	}
}

// services warns about services that no route reaches, and about current services that would be removed.
func (v *fleetValidator) services(current *Configuration) {
	for name := range v.proposed.Services {
		reached := false
		for _, route := range v.proposed.Routes {
			reached = reached || route.reaches(name)
		}
		if !reached {
			v.warn(NoRouteToService, "/services/"+escapeToken(name), "no route matches requests for this service")
		}
	}
	if current == nil {
		return
	}
	for name := range current.Services {
		if _, found := v.proposed.Services[name]; !found {
			v.warn(ServiceRemoved, "/services/"+escapeToken(name), "the current service would be removed")
		}
	}
}

// members warns if members lack an enabled feature flag, if flags cannot be enabled yet, or if at
// least half of the routers are not running.
func (v *fleetValidator) members() {
	if restricted := v.fleet.Restricted; len(restricted) > 0 {
		v.warn(MixedFeatures, "/", "members that lack an enabled flag forward their requests: "+strings.Join(restricted, ", "))
	}
	if blocked := v.fleet.Blocked; len(blocked) > 0 {
		v.warn(MixedFeatures, "/", "an upgrade is in progress; flags that are not enabled yet: "+strings.Join(blocked, ", "))
	}
	if stopped := len(v.fleet.Stopped); stopped > 0 && stopped*2 >= v.fleet.Routers {
		v.warn(FewRouters, "/", "half of the routers or more are not running: "+strings.Join(v.fleet.Stopped, ", "))
	}
}
