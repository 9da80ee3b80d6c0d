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

// change makes a change of a sort on top of the newest revision; it gives how it was
// answered.
func (day *Day) change(lifetime context.Context, how string) answer {
	operators := day.Operators
	patience, end := context.WithTimeout(lifetime, 4*day.Site.Terms.Acknowledge)
	defer end()
	for range 3 {
		base := operators.known()
		next := operators.draft(base)
		day.alter(&next, how)
		given := operators.propose(patience, base, next, next.Revision%2 == 0, false, nil)
		if given.outcome == acknowledged {
			return given
		}
		operators.resync(patience)
	}
	return answer{outcome: unclear}
}

// alter makes the changes of one sort to a draft.
func (day *Day) alter(next *Version, how string) {
	class := day.Site.Classes[0]
	busy := "r-" + class.Name
	rule := next.Routes[busy]
	number := strconv.Itoa(next.Revision)
	switch how {
	case "weights":
		rule.Services = map[string]int{day.Site.Services[0].Name: 90, day.Site.Services[1].Name: 10}
	case "route":
		rule.Services = map[string]int{day.Site.Services[next.Revision%2].Name: 1}
	case "timeout":
		rule.Deadline = int(class.Deadline.Milliseconds()) - 100*(next.Revision%5)
	default:
		for name := range next.Routes {
			if strings.HasPrefix(name, "r-late-") && len(next.Routes) > len(day.Site.Classes)+idleRoutes+3 {
				delete(next.Routes, name)
				break
			}
		}
		name, idle := idleRule(day.Site, "r-late-"+number)
		next.Routes[name] = idle
		day.Operators.watch(name, idle)
	}
	next.Routes[busy] = rule
}

func (day *Day) changeOnce(lifetime context.Context, fault Fault) { day.change(lifetime, fault.How) }

// storm makes changes in quick succession.
func (day *Day) storm(lifetime context.Context, fault Fault) {
	count := fault.Count
	if count == 0 {
		count = max(1, int(fault.lasts()/fault.gap()))
	}
	for number := range count {
		day.change(lifetime, []string{"idle", "timeout"}[number%2])
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// race has two operators make changes on top of the same revision.
func (day *Day) race(lifetime context.Context, fault Fault) {
	operators := day.Operators
	for range max(1, fault.Count) {
		base := operators.known()
		var racing sync.WaitGroup
		for range 2 {
			next := operators.draft(base)
			day.alter(&next, "idle")
			racing.Go(func() {
				patience, end := context.WithTimeout(lifetime, 4*day.Site.Terms.Acknowledge)
				defer end()
				operators.propose(patience, base, next, next.Revision%2 == 0, false, nil)
			})
		}
		racing.Wait()
		operators.resync(lifetime)
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// sendInvalid sends configurations that can't be.
func (day *Day) sendInvalid(lifetime context.Context, fault Fault) {
	ways := slices.Sorted(maps.Keys(spoilers))
	operators := day.Operators
	for number := range max(1, fault.Count) {
		way := fault.How
		if spoilers[way] == nil {
			way = ways[(number+int(day.seed))%len(ways)]
		}
		base := operators.known()
		next := operators.draft(base)
		name, rule := idleRule(day.Site, "r-bad-"+strconv.Itoa(next.Revision))
		next.Routes[name] = rule
		operators.watch(name, rule)
		patience, end := context.WithTimeout(lifetime, 2*day.Site.Terms.Acknowledge)
		operators.propose(patience, base, next, false, true,
			func(page map[string]any) []byte { return spoilers[way](page, base) })
		end()
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// spoilers make a configuration invalid, each in its way.
var spoilers = map[string]func(page map[string]any, base Version) []byte{
	"cut_short": func(page map[string]any, _ Version) []byte {
		text, _ := json.Marshal(page)
		return text[:len(text)*2/3]
	},
	"unknown_service": func(page map[string]any, _ Version) []byte {
		first(page)["backend"] = "nowhere"
		delete(first(page), "split")
		return encoded(page)
	},
	"same_place": func(page map[string]any, _ Version) []byte {
		routes, _ := page["routes"].([]any)
		twin := maps.Clone(first(page))
		twin["name"] = "r-twin"
		page["routes"] = append(routes, twin)
		return encoded(page)
	},
	"no_weight": func(page map[string]any, _ Version) []byte {
		route := first(page)
		route["split"] = []any{map[string]any{"backend": route["backend"], "weight": 0}}
		delete(route, "backend")
		return encoded(page)
	},
	"no_timeout": func(page map[string]any, _ Version) []byte {
		first(page)["deadlineMs"] = 0
		return encoded(page)
	},
	"old_version": func(page map[string]any, base Version) []byte {
		page["revision"] = base.Revision
		return encoded(page)
	},
}

// first is the first route of a page that goes to one service.
func first(page map[string]any) map[string]any {
	routes, _ := page["routes"].([]any)
	for _, each := range routes {
		if route, fits := each.(map[string]any); fits && route["backend"] != nil {
			return route
		}
	}
	return map[string]any{}
}

func encoded(page map[string]any) []byte {
	text, _ := json.Marshal(page)
	return text
}

// growConfiguration adds many routes.
func (day *Day) growConfiguration(lifetime context.Context, fault Fault) {
	operators := day.Operators
	base := operators.known()
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

// evacuateZone keeps a zone's servers free of requests for a while.
func (day *Day) evacuateZone(lifetime context.Context, fault Fault) {
	zone := fault.Zone
	if zone == "" {
		zone = day.Site.Zones[day.seed%uint64(len(day.Site.Zones))]
	}
	if day.Operators.evacuate(lifetime, zone) && sleep(lifetime, fault.lasts()) {
		for _, server := range day.ServerPool.all() {
			if server.Zone == zone {
				server.cool()
			}
		}
		day.Operators.takeBack(lifetime, zone)
	}
}
