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

// Diagnostic is one result of ValidateAgainst: an error, for which the fleet would refuse
// the configuration, or a warning, with which it would accept it.
type Diagnostic struct {
	Level string `json:"level"`
	failure.Error
}

// The levels of a diagnostic.
const (
	LevelError   = "error"
	LevelWarning = "warning"
)

// FleetState is what is known of the running fleet.
type FleetState struct {
	// Servers are those that the platform lists.
	Servers []ServerState
	// Restricted are the members that lack an enabled feature flag.
	Restricted []string
	// Stopped are the recorded routers that do not run.
	Stopped []string
	// Routers is how many routers are recorded.
	Routers int
	// Blocked are the feature flags that wait for members to support them.
	Blocked []string
}

// ServerState is one model server in a Facts.
type ServerState struct {
	Name    string
	Zone    string
	Leaving bool
	// Reported states that the server has reported its load: Role (prefill or decode),
	// Active (requests under way) and Slots (how many it runs at once) are known.
	Reported bool
	Role     string
	Active   int
	Slots    int
}

// The codes of warnings. FewRouters and others keep their old texts: scripts read them.
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

// ValidateAgainst checks a proposed configuration on its own, and if it is valid against
// the state of the fleet and the configuration in force (nil if there is none). Errors come
// in the order of the text, warnings in that of their paths.
func ValidateAgainst(proposed []byte, current *Configuration, fleet FleetState) []Diagnostic {
	configuration, err := Check(proposed)
	var validation *ValidationError
	if errors.As(err, &validation) {
		var diagnostics []Diagnostic
		for _, finding := range validation.Errors {
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
	proposed    *Configuration
	fleet       FleetState
	zones       map[string]int
	diagnostics []Diagnostic
}

func (v *fleetValidator) warn(code failure.Code, path, detail string) {
	v.diagnostics = append(v.diagnostics, Diagnostic{Level: LevelWarning, Error: *failure.At(code, path, detail)})
}

// evacuations warns of evacuated zones without servers.
func (v *fleetValidator) evacuations() {
	for zone := range v.proposed.Evacuations {
		if v.zones[zone] == 0 {
			v.warn(UnknownZone, "/evacuations/"+escapeToken(zone), "no listed server is in this district")
		}
	}
}

// routes warns of routes that an earlier one hides, that name unknown zones or that have
// no servers left.
func (v *fleetValidator) routes() {
	caughtBy := map[string]string{}
	for _, route := range v.proposed.Routes {
		if route.Calls != nil {
			continue
		}
		path := "/routes/" + escapeToken(route.Name)
		service := route.Match.Service
		if earlier, found := caughtBy[""]; found {
			v.warn(RouteNeverReached, path, "the route "+earlier+" matches everything before it")
			continue
		}
		if earlier, found := caughtBy[service]; found && service != "" {
			v.warn(RouteNeverReached, path, "the route "+earlier+" matches everything of "+service+" before it")
			continue
		}
		if bare := route.Match; bare == (Match{Service: service}) {
			caughtBy[service] = route.Name
		}
		if route.To.Refuse {
			continue
		}
		for i, zone := range route.To.Zones {
			if v.zones[zone] == 0 {
				v.warn(UnknownZone, path+"/to/districts/"+strconv.Itoa(i), "no listed server is in the district "+zone)
			}
		}
		if v.serversLeft(route.To) == 0 {
			v.warn(NoServersLeft, path, "its inquiries would be refused: no server of its districts is left")
		}
	}
}

// serversLeft counts the servers in the target's zones that are not evacuated.
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

// capacity warns where evacuations leave no server of a role (prefill or decode), or leave
// slots of which more than 80 in 100 are taken.
func (v *fleetValidator) capacity() {
	roles, leftRoles := map[string]int{}, map[string]int{}
	active, slots, reported := 0, 0, 0
	for _, server := range v.fleet.Servers {
		if !server.Reported || server.Leaving {
			continue
		}
		reported++
		roles[server.Role]++
		active += server.Active
		if !v.proposed.Evacuated(server.Zone) {
			leftRoles[server.Role]++
			slots += server.Slots
		}
	}
	if reported == 0 || len(v.proposed.Evacuations) == 0 {
		return
	}
	for _, role := range []string{"prefill", "decode"} {
		if roles[role] > 0 && leftRoles[role] == 0 {
			v.warn(NoServersOfRole, "/evacuations", "no server with the part "+role+" is left until parts change")
		}
	}
	if slots > 0 && active*10 > slots*8 {
		v.warn(LowCapacity, "/evacuations", "answers under way fill "+strconv.Itoa(active*100/slots)+" of 100 slots that are left")
	}
}

// services warns of services that no route reaches, and of those that would disappear.
func (v *fleetValidator) services(current *Configuration) {
	for name := range v.proposed.Services {
		reached := false
		for _, route := range v.proposed.Routes {
			reached = reached || route.reaches(name)
		}
		if !reached {
			v.warn(NoRouteToService, "/services/"+escapeToken(name), "no route can match its inquiries")
		}
	}
	if current == nil {
		return
	}
	for name := range current.Services {
		if _, found := v.proposed.Services[name]; !found {
			v.warn(ServiceRemoved, "/services/"+escapeToken(name), "the service in force now would be gone")
		}
	}
}

// members warns if members lack features or do not run.
func (v *fleetValidator) members() {
	if restricted := v.fleet.Restricted; len(restricted) > 0 {
		v.warn(MixedFeatures, "/", "members that lack an enabled flag pass their inquiries on: "+strings.Join(restricted, ", "))
	}
	if blocked := v.fleet.Blocked; len(blocked) > 0 {
		v.warn(MixedFeatures, "/", "an upgrade is under way; flags that wait: "+strings.Join(blocked, ", "))
	}
	if stopped := len(v.fleet.Stopped); stopped > 0 && stopped*2 >= v.fleet.Routers {
		v.warn(FewRouters, "/", "half of the couriers or more do not run: "+strings.Join(v.fleet.Stopped, ", "))
	}
}
