package replay

import (
	"sort"
	"time"
)

// record groups the events of a day by attempt, request, version and server for the checkers.
type record struct {
	events       []Event
	site         Site
	terms        Terms
	contact      *contact
	attempts     map[string]*attemptRecord
	attemptOrder []*attemptRecord
	requests     map[string][]*attemptRecord
	versions     []*versionRecord
	shownLeaving map[string]time.Time
}

// attemptRecord holds the events of one attempt.
type attemptRecord struct {
	sent       Event
	ended      Event
	finished   bool
	arrivals   []Event
	rejections []Event
	runStarts  []Event
	prefills   []Event
	runEnds    []Event
}

// versionRecord is a proposed version, with the times and the outcome of its proposal.
type versionRecord struct {
	Version
	change  string
	base    int
	invalid bool
	sent    time.Time
	closed  time.Time
	outcome outcome
}

// newRecord groups the events of a day, which must be ordered by time.
func newRecord(events []Event, site Site) *record {
	r := &record{
		events:       events,
		site:         site,
		terms:        site.Terms,
		contact:      newContact(events, site.Terms.Contact),
		attempts:     map[string]*attemptRecord{},
		requests:     map[string][]*attemptRecord{},
		shownLeaving: map[string]time.Time{},
	}
	changes := map[string]*versionRecord{}
	for _, event := range events {
		attempt := r.attempts[event.AttemptID]
		if event.Kind == AttemptSent {
			attempt = &attemptRecord{sent: event}
			r.attempts[event.AttemptID] = attempt
			r.attemptOrder = append(r.attemptOrder, attempt)
			r.requests[event.Request] = append(r.requests[event.Request], attempt)
		}
		switch event.Kind {
		case ChangeSent:
			changes[event.Change] = &versionRecord{
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
		case ShownLeaving:
			if _, known := r.shownLeaving[event.Server]; !known {
				r.shownLeaving[event.Server] = event.At
			}
		}
		if attempt == nil {
			continue
		}
		switch event.Kind {
		case AttemptEnded:
			attempt.ended, attempt.finished = event, true
		case RequestArrived:
			attempt.arrivals = append(attempt.arrivals, event)
		case RequestRejected:
			attempt.rejections = append(attempt.rejections, event)
		case RunStarted:
			attempt.runStarts = append(attempt.runStarts, event)
		case RunEnded:
			attempt.runEnds = append(attempt.runEnds, event)
		case PromptPrefilled:
			attempt.prefills = append(attempt.prefills, event)
		}
	}
	sort.SliceStable(r.versions,
		func(left, right int) bool { return r.versions[left].Revision < r.versions[right].Revision })
	return r
}

// mayBeInForce reports whether a version may be in force at a moment.
func (v *versionRecord) mayBeInForce(at time.Time) bool {
	return !v.invalid && v.outcome != refused && !v.sent.After(at)
}

// guaranteesNotRun reports whether a status guarantees that the request never runs.
func guaranteesNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// handling is an action of a machine on a request. It shows which configuration the machine applied.
type handling struct {
	attempt *attemptRecord
	machine string
	route   string
	// service is empty if the machine responded that the route does not exist.
	service string
	sent    time.Time
	at      time.Time
}

// handlings lists the actions that show which configuration machines applied, ordered by time.
func (r *record) handlings() []handling {
	var handlings []handling
	for _, attempt := range r.attemptOrder {
		for _, event := range append(append([]Event(nil), attempt.runStarts...), attempt.prefills...) {
			handlings = append(handlings,
				handling{attempt, attempt.sent.Machine, attempt.sent.Route, event.Service, attempt.sent.At, event.At})
		}
		if attempt.finished && attempt.ended.Status == 404 && attempt.ended.Seal == "" {
			handlings = append(handlings,
				handling{attempt, attempt.sent.Machine, attempt.sent.Route, "", attempt.sent.At, attempt.ended.At})
		}
	}
	sort.SliceStable(handlings, func(left, right int) bool { return handlings[left].at.Before(handlings[right].at) })
	return handlings
}

// allowedBy reports whether a version allows the handling.
func (h handling) allowedBy(version *versionRecord) bool {
	if h.service == "" {
		_, found := version.Routes[h.route]
		return !found
	}
	return version.Allows(h.route, h.service)
}

// revisionRange returns the oldest and the newest revision that allow a handling and may have been in
// force at the time of the handling.
func (r *record) revisionRange(h handling) (oldest, newest int, found bool) {
	for _, version := range r.versions {
		if version.mayBeInForce(h.at) && h.allowedBy(version) {
			if !found {
				oldest, found = version.Revision, true
			}
			newest = version.Revision
		}
	}
	return oldest, newest, found
}
