// Package fleet tests a whole fleet as processes on one machine, over loopback. It
// starts the product's programs beside stand-ins for clients, model servers and the
// platform, breaks nodes, disks and links, and judges the day by what the stand-ins
// themselves recorded. Package simulation does the same in virtual time and shares
// the event log, the model server's Engine and the checkers.
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

// EventLog is the record of one test, in the order in which things happened
// on this one machine.
type EventLog struct {
	mutex   sync.Mutex
	entries []Entry
	// Clock tells the time of entries; nil means the machine's.
	Clock func() time.Time
}

// Append writes an entry down, at this moment unless it says another.
func (b *EventLog) Append(entry Entry) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if entry.At.IsZero() {
		entry.At = time.Now()
		if b.Clock != nil {
			entry.At = b.Clock()
		}
	}
	b.entries = append(b.entries, entry)
}

// Entries gives all entries in the order of their time.
func (b *EventLog) Entries() []Entry {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entries := append([]Entry(nil), b.entries...)
	sort.SliceStable(entries, func(left, right int) bool { return entries[left].At.Before(entries[right].At) })
	return entries
}

// Save writes the log as JSON lines.
func (b *EventLog) Save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	encoder := json.NewEncoder(file)
	for _, entry := range b.Entries() {
		if err := encoder.Encode(entry); err != nil {
			_ = file.Close()
			return failure.Wrap(failure.Disk, err)
		}
	}
	return failure.Wrap(failure.Disk, file.Close())
}

// Entry is one line of the event log: what a stand-in or a client saw itself.
type Entry struct {
	At         time.Time `json:"at"`
	Kind       EntryKind `json:"kind"`
	Server     string    `json:"server,omitempty"`
	Zone       string    `json:"district,omitempty"`
	Request    string    `json:"inquiry,omitempty"`
	Run        int       `json:"run,omitempty"`
	Handle     string    `json:"handle,omitempty"`
	Idempotent bool      `json:"repeatable,omitempty"`
	// Arrival tells the times apart that a client sends one id.
	Arrival int    `json:"arrival,omitempty"`
	Router  string `json:"courier,omitempty"`
	Service string `json:"service,omitempty"`

	Holder       string `json:"holder,omitempty"`
	FencingToken uint64 `json:"fence,omitempty"`
	Part         string `json:"part,omitempty"`
	Cause        string `json:"cause,omitempty"`

	Final    string        `json:"final,omitempty"`
	Status   int           `json:"status,omitempty"`
	Asked    int           `json:"asked,omitempty"`
	Texts    []string      `json:"texts,omitempty"`
	Chunks   int           `json:"pieces,omitempty"`
	Took     time.Duration `json:"took,omitempty"`
	Revision int           `json:"edition,omitempty"`
	Depth    int           `json:"depth,omitempty"`
	Age      time.Duration `json:"age,omitempty"`
	Flags    []string      `json:"flags,omitempty"`
}

func (e Entry) arrivalName() string { return e.Request + "@" + strconv.Itoa(e.Arrival) }

// EntryKind names a sort of entry.
type EntryKind string

// The kinds of entry. The servers', the platform's, the clients' and the
// operators' own notes.
const (
	PrefillAsked     EntryKind = "prefill_asked"
	PrefillStarted   EntryKind = "prefill_started"
	OrderRepeated    EntryKind = "order_repeated"
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
