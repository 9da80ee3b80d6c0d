package replay

import (
	"sort"
	"time"
)

// record is an event log with what belongs together laid side by side, for the checkers.
type record struct {
	events   []Event
	site     Site
	terms    Terms
	contact  *contact
	attempts map[string]*attemptSeen
	order    []*attemptSeen
	requests map[string][]*attemptSeen
	versions []*versionSeen
	shown    map[string]time.Time
}

// attemptSeen is all that was seen of one try.
type attemptSeen struct {
	sent     Event
	ended    Event
	over     bool
	arrivals []Event
	turned   []Event
	starts   []Event
	reads    []Event
	ends     []Event
}

// versionSeen is a revision and how its proposal went.
type versionSeen struct {
	Version
	change  string
	base    int
	invalid bool
	sent    time.Time
	closed  time.Time
	outcome outcome
}

func newRecord(events []Event, site Site) *record {
	r := &record{
		events:   events,
		site:     site,
		terms:    site.Terms,
		contact:  newContact(events, site.Terms.Contact),
		attempts: map[string]*attemptSeen{},
		requests: map[string][]*attemptSeen{},
		shown:    map[string]time.Time{},
	}
	changes := map[string]*versionSeen{}
	for _, event := range events {
		seen := r.attempts[event.Try]
		if event.Kind == TrySent {
			seen = &attemptSeen{sent: event}
			r.attempts[event.Try] = seen
			r.order = append(r.order, seen)
			r.requests[event.Request] = append(r.requests[event.Request], seen)
		}
		switch event.Kind {
		case ChangeSent:
			changes[event.Change] = &versionSeen{
				Version: *event.Version,
				change:  event.Change,
				base:    event.Base,
				invalid: event.Invalid,
				sent:    event.At,
				outcome: unclear,
			}
			r.versions = append(r.versions, changes[event.Change])
		case ChangeClosed:
			if change := changes[event.Change]; change != nil {
				change.closed, change.outcome = event.At, outcome(event.Cause)
			}
		case Shown:
			if _, known := r.shown[event.Server]; !known {
				r.shown[event.Server] = event.At
			}
		}
		if seen == nil {
			continue
		}
		switch event.Kind {
		case TryEnded:
			seen.ended, seen.over = event, true
		case Arrived:
			seen.arrivals = append(seen.arrivals, event)
		case TurnedAway:
			seen.turned = append(seen.turned, event)
		case RunStarted:
			seen.starts = append(seen.starts, event)
		case RunEnded:
			seen.ends = append(seen.ends, event)
		case PromptRead:
			seen.reads = append(seen.reads, event)
		}
	}
	sort.SliceStable(r.versions,
		func(left, right int) bool { return r.versions[left].Revision < r.versions[right].Revision })
	return r
}

// mayLease tells whether a revision may be in force by a moment.
func (v *versionSeen) mayLease(by time.Time) bool {
	return !v.invalid && v.outcome != refused && !v.sent.After(by)
}

// promised tells whether the answer promises that the request never runs.
func promised(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// handling is what a machine did with a request, as far as it shows which configuration
// it went by.
type handling struct {
	try     *attemptSeen
	machine string
	route   string
	// service is empty when the machine said that there is no such route.
	service string
	sent    time.Time
	at      time.Time
}

// handlings lists what shows which configuration machines went by, in the order of time.
func (r *record) handlings() []handling {
	var handlings []handling
	for _, seen := range r.order {
		for _, event := range append(append([]Event(nil), seen.starts...), seen.reads...) {
			handlings = append(handlings,
				handling{seen, seen.sent.Machine, seen.sent.Route, event.Service, seen.sent.At, event.At})
		}
		if seen.over && seen.ended.Status == 404 && seen.ended.Seal == "" {
			handlings = append(handlings,
				handling{seen, seen.sent.Machine, seen.sent.Route, "", seen.sent.At, seen.ended.At})
		}
	}
	sort.SliceStable(handlings, func(left, right int) bool { return handlings[left].at.Before(handlings[right].at) })
	return handlings
}

// fits tells whether a revision would have a request handled like that.
func (h handling) fits(version *versionSeen) bool {
	if h.service == "" {
		_, found := version.Routes[h.route]
		return !found
	}
	return version.Allows(h.route, h.service)
}

// span is the oldest and the newest revision that a handling fits, among those that may be
// in force by then.
func (r *record) span(h handling) (oldest, newest int, found bool) {
	for _, version := range r.versions {
		if version.mayLease(h.at) && h.fits(version) {
			if !found {
				oldest, found = version.Revision, true
			}
			newest = version.Revision
		}
	}
	return oldest, newest, found
}
