package fleet

import (
	"strconv"
	"testing"
	"time"
)

// cleanDay returns an event log without violations.
func cleanDay(start time.Time) []Entry {
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	return []Entry{
		{At: at(0), Kind: ServerBorn, Server: "stove-1", Zone: "north"},
		{At: at(0), Kind: ServerBorn, Server: "stove-2", Zone: "south"},
		{At: at(10), Kind: MemberKnown, Holder: "courier-1", Flags: []string{"order_patience"}},
		{
			At:           at(20),
			Kind:         Commanded,
			Server:       "stove-1",
			Holder:       "courier-1",
			FencingToken: 1,
			Role:         "prefill",
			Cause:        "first",
		},
		{At: at(30), Kind: RevisionAsked, Revision: 1},
		{At: at(40), Kind: RevisionAccepted, Revision: 1},
		{At: at(50), Kind: RevisionSeen, Router: "courier-1", Revision: 1},
		{At: at(60), Kind: RevisionRefused, Revision: 9},
		{At: at(70), Kind: RevisionRead, Revision: 1},
		{At: at(5000), Kind: Sent, Request: "one", Asked: 2},
		{At: at(5001), Kind: PrefillAsked, Request: "one", Run: 1, Server: "stove-1", Zone: "north", Age: 5 * time.Second},
		{At: at(5001), Kind: PrefillStarted, Request: "one", Run: 1, Server: "stove-1", Zone: "north"},
		{At: at(5002), Kind: MemoryTaken, Request: "one", Run: 1, Handle: "memory-1", Server: "stove-1"},
		{At: at(5002), Kind: DecodeAsked, Request: "one", Run: 1, Server: "stove-2", Zone: "south", Age: 5 * time.Second},
		{At: at(5003), Kind: DecodeStarted, Request: "one", Run: 1, Server: "stove-2", Zone: "south"},
		{
			At:      at(5010),
			Kind:    Replied,
			Request: "one",
			Asked:   2,
			Chunks:  2,
			Final:   "complete",
			Texts:   []string{"1|" + ChunkText("one", "1", 1), "2|" + ChunkText("one", "1", 2)},
			Took:    10 * time.Millisecond,
		},
		{At: at(5020), Kind: Replied, Request: "two", Final: "refused"},
		{At: at(6000), Kind: ServerLeaving, Server: "stove-1"},
		{At: at(6000), Kind: Evacuated, Zone: "north"},
		{At: at(7000), Kind: ClosingFault, Cause: "the end"},
		{At: at(7500), Kind: RevisionAsked, Revision: 3},
		{At: at(7600), Kind: RevisionAccepted, Revision: 3},
		{
			At:      at(9000),
			Kind:    Replied,
			Request: "three",
			Asked:   1,
			Chunks:  1,
			Final:   "complete",
			Texts:   []string{"1|" + ChunkText("three", "1", 1)},
			Took:    time.Second,
		},
	}
}

// furtherDispatches returns further dispatches of the request "one" to the prefill server stove-2.
func furtherDispatches(from time.Time, count int) (entries []Entry) {
	for number := range count {
		entries = append(entries, Entry{
			At:      from.Add(time.Duration(number) * time.Millisecond),
			Kind:    PrefillAsked,
			Request: "one",
			Run:     number + 2,
			Server:  "stove-2",
			Age:     9 * time.Second,
		})
	}
	return entries
}

// TestEachCheckerCatchesASeededViolation checks that the checkers find no violation in a clean log,
// and that each checker finds a violation of its rule that the test adds to the clean log.
func TestEachCheckerCatchesASeededViolation(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	if verdict := CheckEvents(cleanDay(start)); verdict.Violations() != 0 {
		t.Fatalf("a clean day has violations:\n%s", verdict)
	}
	seeded := map[string][]Entry{
		"no second run": {{
			At:      at(5100),
			Kind:    PrefillStarted,
			Request: "one",
			Run:     2,
			Server:  "stove-2",
		}},
		"refused means it never runs": {{
			At:      at(5100),
			Kind:    PrefillStarted,
			Request: "two",
			Run:     1,
			Server:  "stove-2",
		}},
		"replies are whole and the origin's own": {{
			At:      at(5100),
			Kind:    Replied,
			Request: "four",
			Asked:   2,
			Texts:   []string{"1|" + ChunkText("four", "1", 1), "2|" + ChunkText("four", "2", 2)},
		}},
		"prompt memory is taken once and by its own request": {{
			At:      at(5100),
			Kind:    MemoryTaken,
			Request: "four",
			Run:     1,
			Handle:  "memory-1",
		}},
		"no new work for a leaving server": {{
			At:      at(9200),
			Kind:    PrefillAsked,
			Request: "four",
			Server:  "stove-1",
			Age:     9 * time.Second,
		}},
		"no new work for an evacuated zone": {{
			At:      at(11100),
			Kind:    DecodeAsked,
			Request: "four",
			Server:  "stove-3",
			Zone:    "north",
			Age:     9 * time.Second,
		}},
		"an accepted configuration is in force": {{
			At:       at(200),
			Kind:     RevisionAccepted,
			Revision: 2,
		}, {At: at(2300), Kind: RevisionSeen, Router: "courier-2", Revision: 1}},
		"configurations never go back": {{
			At:       at(200),
			Kind:     RevisionSeen,
			Router:   "courier-1",
			Revision: 3,
		}, {At: at(300), Kind: RevisionSeen, Router: "courier-1", Revision: 2}},
		"refused configurations take no effect": {{
			At:       at(200),
			Kind:     RevisionSeen,
			Router:   "courier-3",
			Revision: 9,
		}},
		"reads are never older than what was accepted": {{
			At:       at(200),
			Kind:     RevisionAccepted,
			Revision: 2,
		}, {At: at(210), Kind: RevisionRead, Revision: 1}},
		"retries stay under a fifth": furtherDispatches(at(5100), 3),
		"a cold server is not flooded": {{
			At:      at(100),
			Kind:    PrefillAsked,
			Request: "four",
			Server:  "stove-2",
			Depth:   9,
			Age:     time.Second,
		}},
		"one node at a time commands a server": {{
			At:           at(2000),
			Kind:         Commanded,
			Server:       "stove-1",
			Holder:       "courier-2",
			FencingToken: 2,
		}},
		"a new format waits for every known member": {{At: at(15), Kind: MemberKnown, Holder: "courier-2"}},
		"an abandoned request is answered at once": {{
			At:      at(30000),
			Kind:    Replied,
			Request: "four",
			Final:   "refused",
			Took:    9 * time.Second,
		}},
		"service returns after a closing fault": {{At: at(10000), Kind: ClosingFault, Cause: "another end"}},
	}
	if len(seeded) != len(checkers) {
		t.Fatalf("got seeded violations for %d checkers, want %d", len(seeded), len(checkers))
	}
	// Violations that depend on several entries: a burst of retries that is too large for its
	// window but not for the whole day, a start after a refusal and before the next arrival, a
	// format used before its flag, a flag enabled although a known member lacks it, a service that
	// returns only for other classes of requests, and a service that returns without accepting a
	// change.
	firstDispatches := func(count int) (entries []Entry) {
		for number := range count {
			name := "quiet-" + strconv.Itoa(number)
			entries = append(entries, Entry{
				At:      at(20000 + 200*number),
				Kind:    PrefillAsked,
				Request: name,
				Server:  "stove-2",
				Age:     9 * time.Second,
			})
		}
		return entries
	}
	enabled := Entry{At: at(12), Kind: FlagEnabled, Cause: "pair_price"}
	unservedEntry := func(at time.Time, kind EntryKind, number int) Entry {
		return Entry{
			At:      at,
			Kind:    kind,
			Request: "sort-" + strconv.Itoa(number),
			Service: "chat",
			Zone:    "south",
			Final:   "refused",
		}
	}
	var unserved []Entry
	for number := range returnSent {
		unserved = append(unserved, unservedEntry(at(11100+number), Sent, number),
			unservedEntry(at(11200+number), Replied, number))
	}
	combined := []struct {
		checker string
		entries []Entry
	}{
		{"retries stay under a fifth", append(firstDispatches(500), furtherDispatches(at(60000), 14)...)},
		{"refused means it never runs", []Entry{{
			At:      at(5000),
			Kind:    Sent,
			Request: "two",
		}, {
			At:      at(5100),
			Kind:    PrefillStarted,
			Request: "two",
			Server:  "stove-2",
		}, {At: at(5200), Kind: Sent, Request: "two", Arrival: 1}}},
		{"a new format waits for every known member", []Entry{enabled, {
			At:    at(11),
			Kind:  RecordSeen,
			Cause: "pair_v2",
			Role:  "on a wire",
		}}},
		{"a new format waits for every known member", []Entry{enabled, {
			At:     at(11),
			Kind:   MemberKnown,
			Holder: "courier-9",
			Flags:  []string{"order_patience"},
		}}},
		{"service returns after a closing fault", unserved},
		{"service returns after a closing fault", []Entry{{At: at(40000), Kind: ClosingFault}, {
			At:    at(41000),
			Kind:  Replied,
			Final: "complete",
		}}},
	}
	for _, violation := range combined {
		log := &EventLog{}
		for _, entry := range append(cleanDay(start), violation.entries...) {
			log.Append(entry)
		}
		if verdict := CheckEvents(log.Entries()); verdict.Finding(violation.checker).Violations == 0 {
			t.Errorf("checker %q does not detect the violation that ends with %+v", violation.checker,
				violation.entries[len(violation.entries)-1])
		}
	}
	for checker, entries := range seeded {
		events := &EventLog{}
		for _, entry := range append(cleanDay(start), entries...) {
			events.Append(entry)
		}
		if verdict := CheckEvents(events.Entries()); verdict.Finding(checker).Violations == 0 {
			t.Errorf("checker %q does not detect its seeded violation", checker)
		}
	}
}
