package replay

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"time"
)

// Version is one version of the configuration, as the operators keep it.
type Version struct {
	Revision int                  `json:"revision"`
	Routes   map[string]RouteRule `json:"routes"`
}

// RouteRule is a route of a version.
type RouteRule struct {
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Class    string         `json:"class,omitempty"`
	Deadline int            `json:"deadline"`
	Services map[string]int `json:"services"`
}

// idleRoutes is the number of routes without traffic in the first version.
const idleRoutes = 6

// FirstVersion returns the configuration at the start of a day: a route for each class of requests,
// and some without traffic.
func FirstVersion(site Site) Version {
	version := Version{Revision: 3, Routes: map[string]RouteRule{}}
	for _, class := range site.Classes {
		version.Routes["r-"+class.Name] = RouteRule{
			Host:     class.Name + ".example",
			Prefix:   "/" + class.Name + "/",
			Class:    class.Name,
			Deadline: int(class.Deadline.Milliseconds()),
			Services: map[string]int{class.Service: 1},
		}
	}
	for number := range idleRoutes {
		name, rule := idleRule(site, "r-idle-"+strconv.Itoa(number))
		version.Routes[name] = rule
	}
	return version
}

// idleRule returns a route that only probes use.
func idleRule(site Site, name string) (string, RouteRule) {
	class := site.Classes[1]
	return name, RouteRule{
		Host:     name + ".example",
		Prefix:   "/" + name + "/",
		Class:    class.Name,
		Deadline: int(class.Deadline.Milliseconds()),
		Services: map[string]int{class.Service: 1},
	}
}

// Next copies a version under another revision number.
func (v Version) Next(revision int) Version {
	routes := make(map[string]RouteRule, len(v.Routes))
	for name, rule := range v.Routes {
		rule.Services = maps.Clone(rule.Services)
		routes[name] = rule
	}
	return Version{Revision: revision, Routes: routes}
}

// Allows reports whether a request on a route may be sent to a service.
func (v Version) Allows(route, service string) bool {
	return v.Routes[route].Services[service] > 0
}

// page returns the version in the format in which operators send it.
func (v Version) page(site Site) map[string]any {
	return map[string]any{
		"revision": v.Revision, "routes": v.routePages(site, slices.Sorted(maps.Keys(v.Routes))), "backends": servicePages(site),
		"limits": map[string]any{
			"maxHeaderBytes":  16384,
			"maxBodyBytes":    4 << 20,
			"headerTimeoutMs": 3000,
			"idleTimeoutMs":   15000,
		},
	}
}

// routePages returns the named routes in the format in which operators send them.
func (v Version) routePages(site Site, names []string) []any {
	pages := []any{}
	for _, name := range names {
		rule := v.Routes[name]
		class := site.classOf(rule.Class)
		page := map[string]any{
			"name": name, "host": rule.Host, "pathPrefix": rule.Prefix, "routeKind": "streaming", "deadlineMs": rule.Deadline,
			"targetMs": class.Target.Milliseconds(), "priority": class.Priority, "maxTries": class.MaxAttempts,
		}
		switch {
		case class.Idempotent:
			page["routeKind"] = "idempotent"
		case class.Plain:
			page["routeKind"] = "mutating"
		default:
			page["sticky"], page["resumable"], page["tokenGapMs"] = true, class.Resumable, class.TokenGap.Milliseconds()
		}
		services := slices.Sorted(maps.Keys(rule.Services))
		if len(services) == 1 && rule.Services[services[0]] == 1 {
			page["backend"] = services[0]
		} else {
			split := []any{}
			for _, service := range services {
				split = append(split, map[string]any{"backend": service, "weight": rule.Services[service]})
			}
			page["split"] = split
		}
		pages = append(pages, page)
	}
	return pages
}

// servicePages returns the site's services in the format in which operators send them.
func servicePages(site Site) []any {
	pages := []any{}
	for _, service := range site.Services {
		engine := service.Engine
		page := map[string]any{
			"name": service.Name, "healthPath": pathHealth, "maxConns": engine.Connections, "protocol": "h1", "tls": false,
			"coldStartS": engine.ColdStart.Seconds(), "coldPerS": engine.ColdPerSecond,
		}
		if engine.PlainSteps == 0 {
			page["runtime"] = map[string]any{
				"slots":        engine.Slots,
				"kvCapacity":   engine.Capacity,
				"kvTokenBytes": int(engine.TokenBytes),
				"linkMbps":     engine.LinkMegabits,
				"stride":       1,
				"handleTtlS":   engine.HandleLifetime.Seconds(),
				"roleSwitchS":  engine.PhaseSwitch.Seconds(),
				"modelIds":     []any{map[string]any{"name": modelName}},
			}
		}
		pages = append(pages, page)
	}
	return pages
}

// patch returns the difference from a version to the next one, in the format in which operators
// send it: the routes to change and the names of the routes to remove.
func (v Version) patch(site Site, next Version) map[string]any {
	var changed, removed []string
	for name, rule := range next.Routes {
		if before, found := v.Routes[name]; !found || !reflect.DeepEqual(before, rule) {
			changed = append(changed, name)
		}
	}
	for name := range v.Routes {
		if _, found := next.Routes[name]; !found {
			removed = append(removed, name)
		}
	}
	sort.Strings(changed)
	sort.Strings(removed)
	page := map[string]any{"revision": next.Revision}
	if len(changed) > 0 {
		page["upsert"] = map[string]any{"routes": next.routePages(site, changed)}
	}
	if len(removed) > 0 {
		page["remove"] = map[string]any{"routes": removed}
	}
	return page
}

// samePage reports whether the configuration read equals the configuration sent. The order of routes
// and of services does not matter.
func samePage(sent map[string]any, read []byte) bool {
	text, err := json.Marshal(sent)
	if err != nil {
		return false
	}
	var left, right map[string]any
	if json.Unmarshal(text, &left) != nil || json.Unmarshal(read, &right) != nil {
		return false
	}
	for _, page := range []map[string]any{left, right} {
		for _, list := range []string{"routes", "backends"} {
			items, _ := page[list].([]any)
			sort.SliceStable(items, func(first, second int) bool { return itemName(items[first]) < itemName(items[second]) })
		}
	}
	return reflect.DeepEqual(left, right)
}

func itemName(item any) string {
	fields, _ := item.(map[string]any)
	name, _ := fields["name"].(string)
	return name
}

// deadlineOf returns the deadline that the version gives a route.
func (v Version) deadlineOf(route string) time.Duration {
	return time.Duration(v.Routes[route].Deadline) * time.Millisecond
}
