package fleet

import (
	"fmt"
	"strconv"
	"time"
)

// closure is a rule that no work is asked of a place (a server or a zone) longer than
// the limit after it was closed, until it is opened again.
type closure struct {
	checker       string
	limit         time.Duration
	place         func(Entry) string
	closes, opens EntryKind
}

// checkLeaving: no work is asked of a server long after the platform showed it
// leaving.
func checkLeaving(entries []Entry) Finding {
	rule := closure{
		checker: "no new work for a leaving server",
		limit:   leavingLimit,
		place:   func(entry Entry) string { return entry.Server },
		closes:  ServerLeaving,
		opens:   ServerBorn,
	}
	return rule.check(entries)
}

// checkEvacuated: no work is asked of an evacuated zone's servers long after
// the evacuation was accepted.
func checkEvacuated(entries []Entry) Finding {
	rule := closure{
		checker: "no new work for an evacuated zone",
		limit:   evacuateLimit,
		place:   func(entry Entry) string { return entry.Zone },
		closes:  Evacuated,
		opens:   RestoreAsked,
	}
	return rule.check(entries)
}

func (c closure) check(entries []Entry) Finding {
	finding := Finding{Checker: c.checker, Limit: c.limit.String()}
	closedAt := map[string]time.Time{}
	var worst time.Duration
	for _, entry := range entries {
		place := c.place(entry)
		since, closed := closedAt[place]
		switch entry.Kind {
		case c.closes:
			finding.Looked++
			if !closed {
				closedAt[place] = entry.At
			}
		case c.opens:
			delete(closedAt, place)
		case PrefillAsked, DecodeAsked:
			if !closed {
				continue
			}
			late := entry.At.Sub(since)
			worst = max(worst, late)
			if late > c.limit {
				finding.Violate(fmt.Sprintf("%s asked %s after %s was closed", entry.Request, late, place))
			}
		}
	}
	finding.setWorst(worst)
	return finding
}

// checkWarmup: in its first moments a server is asked for little at once.
func checkWarmup(entries []Entry) Finding {
	finding := Finding{Checker: "a cold server is not flooded", Limit: strconv.Itoa(warmupDepth)}
	worst := 0
	for _, entry := range entries {
		if (entry.Kind != PrefillAsked && entry.Kind != DecodeAsked) || entry.Age > warmupSpan {
			continue
		}
		finding.Looked++
		worst = max(worst, entry.Depth)
		if entry.Depth > warmupDepth {
			finding.Violate(fmt.Sprintf("%s had %d at once, %s old", entry.Server, entry.Depth, entry.Age))
		}
	}
	finding.Worst = strconv.Itoa(worst)
	return finding
}

// checkCommands: two nodes never command one server within the turn limit, and
// fences never go back.
func checkCommands(entries []Entry) Finding {
	finding := Finding{Checker: "one node at a time commands a server", Limit: turnLimit.String()}
	last := map[string]Entry{}
	var shortest time.Duration
	for _, entry := range entries {
		if entry.Kind != Commanded && entry.Kind != CommandRefused {
			continue
		}
		finding.Looked++
		earlier, found := last[entry.Server]
		last[entry.Server] = entry
		if entry.Kind == CommandRefused {
			finding.Violate(fmt.Sprintf("%s was commanded by %s under the old fence %d", entry.Server, entry.Holder,
				entry.FencingToken))
		}
		if !found || earlier.Holder == entry.Holder {
			continue
		}
		between := entry.At.Sub(earlier.At)
		if shortest == 0 || between < shortest {
			shortest = between
		}
		if between < turnLimit {
			finding.Violate(fmt.Sprintf("%s was commanded by %s and %s later by %s", entry.Server, earlier.Holder,
				between, entry.Holder))
		}
	}
	if shortest > 0 {
		finding.setWorst(shortest)
	}
	return finding
}
