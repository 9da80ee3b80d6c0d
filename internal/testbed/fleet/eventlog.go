// Package fleet tests a fleet of processes on one machine, over loopback. It starts the
// product's programs together with stand-ins for clients, model servers and the platform,
// injects faults into nodes, disks and links, and checks the events that the stand-ins
// recorded. Package simulation does the same in virtual time and shares the event log, the
// model server's Engine and the checkers.
package fleet

import (
	"encoding/json"
	"os"
	"sort"
	"strconv"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// EventLog records the events of one test. All of them happen on one machine, so their
// times give their order.
type EventLog struct {
	mutex   sync.Mutex
	entries []Entry
	// Clock returns the time of a new entry; nil means the machine's clock.
	Clock func() time.Time
}

// Append adds an entry. An entry without a time gets the present time.
func (l *EventLog) Append(entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if entry.At.IsZero() {
		entry.At = time.Now()
		if l.Clock != nil {
			entry.At = l.Clock()
		}
	}
	l.entries = append(l.entries, entry)
}

// Entries returns all entries in the order of their times.
func (l *EventLog) Entries() []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entries := append([]Entry(nil), l.entries...)
	sort.SliceStable(entries, func(left, right int) bool { return entries[left].At.Before(entries[right].At) })
	return entries
}

// Save writes the log as JSON lines.
func (l *EventLog) Save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	encoder := json.NewEncoder(file)
	for _, entry := range l.Entries() {
		if err := encoder.Encode(entry); err != nil {
			_ = file.Close()
			return failure.Wrap(failure.Disk, err)
		}
	}
	return failure.Wrap(failure.Disk, file.Close())
}

// Entry is one line of the event log: an event that a stand-in, a client or the test itself
// observed.
type Entry struct {
	At         time.Time `json:"at"`
	Kind       EntryKind `json:"kind"`
	Server     string    `json:"server,omitempty"`
	Zone       string    `json:"district,omitempty"`
	Request    string    `json:"inquiry,omitempty"`
	Run        int       `json:"run,omitempty"`
	Handle     string    `json:"handle,omitempty"`
	Idempotent bool      `json:"repeatable,omitempty"`
	// Arrival counts how often the client sent the same id before.
	Arrival int `json:"arrival,omitempty"`
	// Router is the router that got the request. In an entry on a revision it is the node that was
	// asked, and in one of the kind NodeWoken the node that was frozen; either may be a controller.
	Router  string `json:"courier,omitempty"`
	Service string `json:"service,omitempty"`

	// Holder is the node that sent a command, the decode server that asked for a prompt's memory,
	// the member whose flags an entry of the kind MemberKnown holds, or the writer of a record.
	Holder       string `json:"holder,omitempty"`
	FencingToken uint64 `json:"fence,omitempty"`
	// Role is the role that a server was told to take, or, in an entry of the kind RecordSeen, the
	// place where the record was seen.
	Role string `json:"part,omitempty"`
	// Cause depends on the kind: the reason of a command or of a reply that is not complete, the
	// name of a fault, the enabled flag, the key of a seen record, or the version of the
	// configuration in the answer to a change.
	Cause string `json:"cause,omitempty"`

	// Final is the outcome in the last line of a reply; it is empty if the reply broke off.
	Final  string `json:"final,omitempty"`
	Status int    `json:"status,omitempty"`
	// Asked is the number of chunks that the client asked for.
	Asked int `json:"asked,omitempty"`
	// Texts holds the number and the text of each chunk of a reply, as "number|text".
	Texts []string `json:"texts,omitempty"`
	// Chunks is the number of chunks according to the last line of a reply.
	Chunks int `json:"pieces,omitempty"`
	// Took is how long a call took that ended at the entry's time, or how long a node was frozen.
	Took     time.Duration `json:"took,omitempty"`
	Revision int           `json:"edition,omitempty"`
	// Depth is the number of prompts in the queue or of decodes in progress when a request
	// arrived at a server.
	Depth int `json:"depth,omitempty"`
	// Age is the time from the start of the server until the request arrived.
	Age   time.Duration `json:"age,omitempty"`
	Flags []string      `json:"flags,omitempty"`
}

// arrivalName identifies one sending of a request.
func (e Entry) arrivalName() string { return e.Request + "@" + strconv.Itoa(e.Arrival) }

// EntryKind is the kind of an entry.
type EntryKind string

// The kinds of entries that servers, the platform, clients, operators and the test record.
const (
	PrefillAsked     EntryKind = "prefill_asked"
	PrefillStarted   EntryKind = "prefill_started"
	DispatchRepeated EntryKind = "order_repeated"
	DecodeAsked      EntryKind = "decode_asked"
	DecodeStarted    EntryKind = "decode_started"
	MemoryTaken      EntryKind = "memory_taken"
	MemoryRefused    EntryKind = "memory_refused"
	Commanded        EntryKind = "commanded"
	CommandRefused   EntryKind = "command_refused"
	ServerBorn       EntryKind = "server_born"
	ServerCrashed    EntryKind = "server_crashed"
	ServerLeaving    EntryKind = "server_leaving"
	Sent             EntryKind = "sent"
	Replied          EntryKind = "replied"
	RevisionSeen     EntryKind = "edition_seen"
	RevisionAsked    EntryKind = "edition_asked"
	RevisionAccepted EntryKind = "edition_accepted"
	RevisionRefused  EntryKind = "edition_refused"
	RevisionUnknown  EntryKind = "edition_unknown"
	RevisionRead     EntryKind = "edition_read"
	EvacuationAsked  EntryKind = "evacuation_asked"
	Evacuated        EntryKind = "evacuated"
	RestoreAsked     EntryKind = "restore_asked"
	FaultBegan       EntryKind = "fault_began"
	ClosingFault     EntryKind = "closing_fault"
	MemberKnown      EntryKind = "member_known"
	NodeWoken        EntryKind = "node_woken"
	RecordSeen       EntryKind = "record_seen"
	FlagEnabled      EntryKind = "flag_enabled"
)
