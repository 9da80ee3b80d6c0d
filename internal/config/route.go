package config

import "time"

// Route sends the requests that it matches to zones, or refuses them.
// Routes are asked by Order, then by name; the first that matches decides.
type Route struct {
	Name  string
	Order int
	Match Match
	To    Target
	// Calls says how opaque calls are served; nil for routes of requests.
	Calls *CallRoute
}

// CallRoute is a route of opaque calls: its match names a host and a path prefix.
type CallRoute struct {
	// Shares are the services that serve the calls, with their weights.
	Shares []Share
	// Limit is the longest time a call is held, Aim the time within which an answer
	// has its full worth, Gap the longest pause between two events of a stream.
	Limit time.Duration
	Aim   time.Duration
	Gap   time.Duration
	// Rank is the urgency among the routes, 0 first.
	Rank int
	// Attempts is how many servers one call may be sent to.
	Attempts int
	// Streams tells that answers are streams of events, Repeatable that a call may
	// run more than once, Resumable that a stream may go on at another server.
	Streams    bool
	Idempotent bool
	Resumable  bool
	// Sticky tells that calls share parts of their prompts.
	Sticky bool
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// reaches tells whether the route may send something to the service.
func (r Route) reaches(service string) bool {
	if r.Calls == nil {
		return r.Match.Service == "" || r.Match.Service == service
	}
	for _, share := range r.Calls.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}
