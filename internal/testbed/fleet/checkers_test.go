package fleet

import (
	"strconv"
	"testing"
	"time"
)

// cleanDay is an event log in which nothing that must never happen happens.
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
			Part:         "prefill",
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

func attempts(from time.Time, count int) (entries []Entry) {
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

// TestEachCheckerCatchesASeededViolation seeds one violation for each checker
// and wants that checker, and no clean log, to speak.
func TestEachCheckerCatchesASeededViolation(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	if verdict := Judge(cleanDay(start)); verdict.Violations() != 0 {
		t.Fatalf("a clean day is judged broken:\n%s", verdict)
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
		"prompt memory is taken once and by its own inquiry": {{
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
		"extra tries stay under a fifth": attempts(at(5100), 3),
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
		"a given-up inquiry is answered at once": {{
			At:      at(30000),
			Kind:    Replied,
			Request: "four",
			Final:   "refused",
			Took:    9 * time.Second,
		}},
		"service returns after a closing fault": {{At: at(10000), Kind: ClosingFault, Cause: "another end"}},
	}
	if len(seeded) != len(checkers) {
		t.Fatalf("%d violations for %d checkers", len(seeded), len(checkers))
	}
	// The subtler ones.
	quiet := func(count int) (entries []Entry) {
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
	sort := func(at time.Time, kind EntryKind, number int) Entry {
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
		unserved = append(unserved, sort(at(11100+number), Sent, number), sort(at(11200+number), Replied, number))
	}
	subtle := []struct {
		checker string
		entries []Entry
	}{
		{"extra tries stay under a fifth", append(quiet(500), attempts(at(60000), 14)...)},
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
			Part:  "on a wire",
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
	for _, hidden := range subtle {
		book := &EventLog{}
		for _, entry := range append(cleanDay(start), hidden.entries...) {
			book.Append(entry)
		}
		if verdict := Judge(book.Entries()); verdict.Finding(hidden.checker).Violations == 0 {
			t.Errorf("%s does not see %+v", hidden.checker, hidden.entries[len(hidden.entries)-1])
		}
	}
	for checker, entries := range seeded {
		events := &EventLog{}
		for _, entry := range append(cleanDay(start), entries...) {
			events.Append(entry)
		}
		if verdict := Judge(events.Entries()); verdict.Finding(checker).Violations == 0 {
			t.Errorf("%s does not see its seeded violation", checker)
		}
	}
}
