package config

import (
	stderrors "errors"
	"sort"
	"strconv"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// The kinds of warning.
const (
	UnknownZone   failure.Code = "unknown_district"
	NoServersLeft failure.Code = "no_servers_left"
	NoPartLeft    failure.Code = "no_part_left"
	LittleRoom    failure.Code = "little_room"
	NeverReached  failure.Code = "never_reached"
	NoRouteTo     failure.Code = "no_route_to_service"
	MixedFormats  failure.Code = "mixed_formats"
	FewRouters    failure.Code = "few_couriers"
	Shrinks       failure.Code = "service_disappears"
)

// Taste checks a proposed configuration against the fleet as it is and the
// configuration in force. It changes nothing.
func Taste(proposed []byte, current *Configuration, facts Facts) []Remark {
	configuration, err := Check(proposed)
	var findings *Findings
	if stderrors.As(err, &findings) {
		var remarks []Remark
		for _, finding := range findings.Troubles {
			remarks = append(remarks, Remark{Level: ErrorLevel, Error: *finding})
		}
		return remarks
	}
	t := &tasting{configuration: configuration, facts: facts, zones: map[string]int{}}
	for _, server := range facts.Servers {
		if !server.Leaving {
			t.zones[server.Zone]++
		}
	}
	t.evacuations()
	t.routes()
	t.room()
	t.services(current)
	t.members()
	sort.SliceStable(t.remarks, func(left, right int) bool { return t.remarks[left].Path < t.remarks[right].Path })
	return t.remarks
}

type tasting struct {
	configuration *Configuration
	facts         Facts
	zones         map[string]int
	remarks       []Remark
}

func (t *tasting) warn(kind failure.Code, path, detail string) {
	t.remarks = append(t.remarks, Remark{Level: WarningLevel, Error: *failure.At(kind, path, detail)})
}

func (t *tasting) evacuations() {
	for zone := range t.configuration.Evacuations {
		if t.zones[zone] == 0 {
			t.warn(UnknownZone, "/evacuations/"+escape(zone), "no listed server is in this district")
		}
	}
}

func (t *tasting) routes() {
	caught := map[string]string{}
	for _, route := range t.configuration.Routes {
		if route.Calls != nil {
			continue
		}
		path := "/routes/" + escape(route.Name)
		service := route.Match.Service
		if earlier, found := caught[""]; found {
			t.warn(NeverReached, path, "the route "+earlier+" matches everything before it")
			continue
		}
		if earlier, found := caught[service]; found && service != "" {
			t.warn(NeverReached, path, "the route "+earlier+" matches everything of "+service+" before it")
			continue
		}
		if bare := route.Match; bare == (Match{Service: service}) {
			caught[service] = route.Name
		}
		if route.To.Refuse {
			continue
		}
		left := 0
		for position, zone := range route.To.Zones {
			if t.zones[zone] == 0 {
				t.warn(UnknownZone, path+"/to/districts/"+strconv.Itoa(position), "no listed server is in the district "+zone)
			}
			if !t.configuration.Evacuated(zone) {
				left += t.zones[zone]
			}
		}
		if len(route.To.Zones) == 0 {
			for district, count := range t.zones {
				if !t.configuration.Evacuated(district) {
					left += count
				}
			}
		}
		if left == 0 {
			t.warn(NoServersLeft, path, "its inquiries would be refused: no server of its districts is left")
		}
	}
}

// room looks at the parts and slots that evacuations leave.
func (t *tasting) room() {
	parts, leftParts := map[string]int{}, map[string]int{}
	active, slots, reported := 0, 0, 0
	for _, server := range t.facts.Servers {
		if !server.Reported || server.Leaving {
			continue
		}
		reported++
		parts[server.Part]++
		active += server.Active
		if !t.configuration.Evacuated(server.Zone) {
			leftParts[server.Part]++
			slots += server.Slots
		}
	}
	if reported == 0 || len(t.configuration.Evacuations) == 0 {
		return
	}
	for _, part := range []string{"prefill", "decode"} {
		if parts[part] > 0 && leftParts[part] == 0 {
			t.warn(NoPartLeft, "/evacuations", "no server with the part "+part+" is left until parts change")
		}
	}
	if slots > 0 && active*10 > slots*8 {
		t.warn(LittleRoom, "/evacuations", "answers under way fill "+strconv.Itoa(active*100/slots)+" of 100 slots that are left")
	}
}

func (t *tasting) services(current *Configuration) {
	for name := range t.configuration.Services {
		reached := false
		for _, route := range t.configuration.Routes {
			reached = reached || route.reaches(name)
		}
		if !reached {
			t.warn(NoRouteTo, "/services/"+escape(name), "no route can match its inquiries")
		}
	}
	if current == nil {
		return
	}
	for name := range current.Services {
		if _, found := t.configuration.Services[name]; !found {
			t.warn(Shrinks, "/services/"+escape(name), "the service in force now would be gone")
		}
	}
}

func (t *tasting) members() {
	if restricted := t.facts.Restricted; len(restricted) > 0 {
		t.warn(MixedFormats, "/", "members that lack an enabled flag pass their inquiries on: "+strings.Join(restricted, ", "))
	}
	if blocked := t.facts.Blocked; len(blocked) > 0 {
		t.warn(MixedFormats, "/", "an upgrade is under way; flags that wait: "+strings.Join(blocked, ", "))
	}
	if stopped := len(t.facts.Stopped); stopped > 0 && stopped*2 >= t.facts.Routers {
		t.warn(FewRouters, "/", "half of the couriers or more do not run: "+strings.Join(t.facts.Stopped, ", "))
	}
}
