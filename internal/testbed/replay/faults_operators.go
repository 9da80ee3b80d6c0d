package replay

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// change proposes a change of the given kind, based on the newest known revision, up to three times
// until a proposal is acknowledged. It returns the acknowledgement, or an unclear outcome if there is
// none.
func (day *Day) change(lifetime context.Context, kind string) callResult {
	operators := day.Operators
	deadline, cancel := context.WithTimeout(lifetime, 4*day.Site.Terms.Acknowledge)
	defer cancel()
	for range 3 {
		base := operators.newestKnown()
		next := operators.draft(base)
		day.alterDraft(&next, kind)
		reply := operators.propose(deadline, base, next, next.Revision%2 == 0, false, nil)
		if reply.outcome == acknowledged {
			return reply
		}
		operators.resync(deadline)
	}
	return callResult{outcome: unclear}
}

// alterDraft applies a change of the given kind to a draft. By default it adds an idle route, and
// removes an earlier one if there are many.
func (day *Day) alterDraft(next *Version, kind string) {
	class := day.Site.Classes[0]
	busyRoute := "r-" + class.Name
	busyRule := next.Routes[busyRoute]
	number := strconv.Itoa(next.Revision)
	switch kind {
	case "weights":
		busyRule.Services = map[string]int{day.Site.Services[0].Name: 90, day.Site.Services[1].Name: 10}
	case "route":
		busyRule.Services = map[string]int{day.Site.Services[next.Revision%2].Name: 1}
	case "timeout":
		busyRule.Deadline = int(class.Deadline.Milliseconds()) - 100*(next.Revision%5)
	default:
		for name := range next.Routes {
			if strings.HasPrefix(name, "r-late-") && len(next.Routes) > len(day.Site.Classes)+idleRoutes+3 {
				delete(next.Routes, name)
				break
			}
		}
		name, rule := idleRule(day.Site, "r-late-"+number)
		next.Routes[name] = rule
		day.Operators.watch(name, rule)
	}
	next.Routes[busyRoute] = busyRule
}

// changeOnce makes one change of the kind that the fault names.
func (day *Day) changeOnce(lifetime context.Context, fault Fault) { day.change(lifetime, fault.How) }

// changeStorm makes changes in quick succession.
func (day *Day) changeStorm(lifetime context.Context, fault Fault) {
	count := fault.Count
	if count == 0 {
		count = max(1, int(fault.duration()/fault.gap()))
	}
	for number := range count {
		day.change(lifetime, []string{"idle", "timeout"}[number%2])
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// raceChanges proposes two changes based on the same revision at the same time.
func (day *Day) raceChanges(lifetime context.Context, fault Fault) {
	operators := day.Operators
	for range max(1, fault.Count) {
		base := operators.newestKnown()
		var racing sync.WaitGroup
		for range 2 {
			next := operators.draft(base)
			day.alterDraft(&next, "idle")
			racing.Go(func() {
				deadline, cancel := context.WithTimeout(lifetime, 4*day.Site.Terms.Acknowledge)
				defer cancel()
				operators.propose(deadline, base, next, next.Revision%2 == 0, false, nil)
			})
		}
		racing.Wait()
		operators.resync(lifetime)
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// sendInvalid proposes invalid configurations.
func (day *Day) sendInvalid(lifetime context.Context, fault Fault) {
	kinds := slices.Sorted(maps.Keys(invalidators))
	operators := day.Operators
	for number := range max(1, fault.Count) {
		kind := fault.How
		if invalidators[kind] == nil {
			kind = kinds[(number+int(day.seed))%len(kinds)]
		}
		base := operators.newestKnown()
		next := operators.draft(base)
		name, rule := idleRule(day.Site, "r-bad-"+strconv.Itoa(next.Revision))
		next.Routes[name] = rule
		operators.watch(name, rule)
		deadline, cancel := context.WithTimeout(lifetime, 2*day.Site.Terms.Acknowledge)
		operators.propose(deadline, base, next, false, true,
			func(page map[string]any) []byte { return invalidators[kind](page, base) })
		cancel()
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// invalidators make a configuration invalid, by kind of mistake.
var invalidators = map[string]func(page map[string]any, base Version) []byte{
	"cut_short": func(page map[string]any, _ Version) []byte {
		text, _ := json.Marshal(page)
		return text[:len(text)*2/3]
	},
	"unknown_service": func(page map[string]any, _ Version) []byte {
		firstSingleServiceRoute(page)["backend"] = "nowhere"
		delete(firstSingleServiceRoute(page), "split")
		return encodePage(page)
	},
	"same_place": func(page map[string]any, _ Version) []byte {
		routes, _ := page["routes"].([]any)
		twin := maps.Clone(firstSingleServiceRoute(page))
		twin["name"] = "r-twin"
		page["routes"] = append(routes, twin)
		return encodePage(page)
	},
	"no_weight": func(page map[string]any, _ Version) []byte {
		route := firstSingleServiceRoute(page)
		route["split"] = []any{map[string]any{"backend": route["backend"], "weight": 0}}
		delete(route, "backend")
		return encodePage(page)
	},
	"no_timeout": func(page map[string]any, _ Version) []byte {
		firstSingleServiceRoute(page)["deadlineMs"] = 0
		return encodePage(page)
	},
	"old_version": func(page map[string]any, base Version) []byte {
		page["revision"] = base.Revision
		return encodePage(page)
	},
}

// firstSingleServiceRoute returns the first route of a page that has a single service.
func firstSingleServiceRoute(page map[string]any) map[string]any {
	routes, _ := page["routes"].([]any)
	for _, entry := range routes {
		if route, fits := entry.(map[string]any); fits && route["backend"] != nil {
			return route
		}
	}
	return map[string]any{}
}

// encodePage encodes a page as JSON.
func encodePage(page map[string]any) []byte {
	text, _ := json.Marshal(page)
	return text
}

// growConfiguration adds many routes in one change.
func (day *Day) growConfiguration(lifetime context.Context, fault Fault) {
	operators := day.Operators
	base := operators.newestKnown()
	next := operators.draft(base)
	for number := range max(1, fault.Count) {
		name, rule := idleRule(day.Site, "r-many-"+strconv.Itoa(next.Revision)+"-"+strconv.Itoa(number))
		next.Routes[name] = rule
		if number == 0 {
			operators.watch(name, rule)
		}
	}
	if operators.propose(lifetime, base, next, true, false, nil).outcome != acknowledged {
		operators.resync(lifetime)
	}
}

// evacuateZone evacuates a zone for a while. The zone's servers are cold when the evacuation ends.
func (day *Day) evacuateZone(lifetime context.Context, fault Fault) {
	zone := fault.Zone
	if zone == "" {
		zone = day.Site.Zones[day.seed%uint64(len(day.Site.Zones))]
	}
	if day.Operators.evacuate(lifetime, zone) && sleep(lifetime, fault.duration()) {
		for _, server := range day.ServerPool.all() {
			if server.Zone == zone {
				server.makeCold()
			}
		}
		day.Operators.endEvacuation(lifetime, zone)
	}
}
