// Package replay plays days of the users' platform over loopback, around the
// product's programs as they are deployed: model servers with engines, the list of
// servers, operators, clients and the machines that the programs run on. The rules
// are judged by what these saw.
package replay

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// EventLog is the record of one day.
type EventLog struct {
	mutex  sync.Mutex
	events []Event
}

// Append writes an event down, at this moment unless it says another.
func (b *EventLog) Append(event Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if event.At.IsZero() {
		event.At = time.Now()
	}
	b.events = append(b.events, event)
}

// Events gives all events in the order of their time.
func (b *EventLog) Events() []Event {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	events := append([]Event(nil), b.events...)
	sort.SliceStable(events, func(left, right int) bool { return events[left].At.Before(events[right].At) })
	return events
}

// Save writes the event log as JSON lines.
func (b *EventLog) Save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	encoder := json.NewEncoder(file)
	for _, event := range b.Events() {
		if err := encoder.Encode(event); err != nil {
			_ = file.Close()
			return failure.Wrap(failure.Disk, err)
		}
	}
	return failure.Wrap(failure.Disk, file.Close())
}

// Event is one line of the event log: what one stand-in saw on its own sockets, or did
// itself.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Machine string    `json:"machine,omitempty"`
	Zone    string    `json:"zone,omitempty"`

	Try     string `json:"try,omitempty"`
	Request string `json:"request,omitempty"`
	Class   string `json:"class,omitempty"`
	Route   string `json:"route,omitempty"`
	// Number tells the attempts of one request apart, from 0.
	Number     int           `json:"number,omitempty"`
	Idempotent bool          `json:"repeatable,omitempty"`
	Probe      bool          `json:"probe,omitempty"`
	Digest     string        `json:"digest,omitempty"`
	Deadline   time.Duration `json:"deadline,omitempty"`
	Aim        time.Duration `json:"aim,omitempty"`
	Began      time.Time     `json:"began,omitzero"`
	First      time.Time     `json:"first,omitzero"`
	Behind     int           `json:"behind,omitempty"`

	Status   int    `json:"status,omitempty"`
	Seal     string `json:"seal,omitempty"`
	Complete bool   `json:"complete,omitempty"`
	// GaveUp: the client closed the connection itself. Bears is the id of the try that the answer names.
	GaveUp bool    `json:"gave_up,omitempty"`
	Bears  string  `json:"bears,omitempty"`
	Cause  string  `json:"cause,omitempty"`
	Spans  []Span  `json:"spans,omitempty"`
	Stall  float64 `json:"stall,omitempty"`

	Server       string `json:"server,omitempty"`
	Service      string `json:"service,omitempty"`
	Stage        string `json:"stage,omitempty"`
	Handle       string `json:"handle,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Cold         bool   `json:"cold,omitempty"`
	Owner        string `json:"owner,omitempty"`
	FencingToken uint64 `json:"fence,omitempty"`

	Change   string   `json:"change,omitempty"`
	Revision int      `json:"revision,omitempty"`
	Base     int      `json:"base,omitempty"`
	Invalid  bool     `json:"invalid,omitempty"`
	Version  *Version `json:"edition,omitempty"`

	Core    bool `json:"core,omitempty"`
	Planned bool `json:"planned,omitempty"`
}

// Span is one event of a stream as a client read it: the tokens that it carries, and
// the run that made them.
type Span struct {
	ID   int    `json:"id"`
	From int    `json:"from"`
	To   int    `json:"to"`
	Run  string `json:"run"`
	// Whose is the digest of the request that the run belongs to.
	Whose string `json:"whose"`
}

// EventKind tells what a stand-in saw.
type EventKind string

// What clients see.
const (
	// TrySent: a client wrote a try, whole, to a machine.
	TrySent EventKind = "try_sent"
	// TryEnded: the try's answer ended, or the client gave it up.
	TryEnded EventKind = "try_ended"
	// StrayBytes: bytes came on a connection on which no request waited.
	StrayBytes EventKind = "stray_bytes"
	// ReadyAsked: what a machine answered when asked whether it is ready.
	ReadyAsked EventKind = "ready_asked"
)

// What model servers see.
const (
	ServerBorn EventKind = "server_born"
	ServerGone EventKind = "server_gone"
	// Arrived: a request reached a server; Status is set when it was turned away at once.
	Arrived EventKind = "arrived"
	// TurnedAway: the server said that it did not run the request.
	TurnedAway EventKind = "turned_away"
	// RunStarted: the first token was made; RunEnded: the server's work on it is over.
	RunStarted EventKind = "run_started"
	RunEnded   EventKind = "run_ended"
	// PromptRead: a prompt was read and its memory waits under a handle.
	PromptRead  EventKind = "prompt_read"
	HandleTaken EventKind = "handle_taken"
	HandleFreed EventKind = "handle_freed"
	HandleLost  EventKind = "handle_lost"
	// Ordered: an order reached a server.
	Ordered EventKind = "ordered"
	Probed  EventKind = "probed"
	// PartsReadAgain counts the shared tokens that were read though some server had read them.
	PartsReadAgain EventKind = "parts_read_again"
)

// What the platform and its operators see.
const (
	// Shown: the list shows that a server leaves, or no longer shows it.
	Shown        EventKind = "shown"
	ListRead     EventKind = "list_read"
	ChangeSent   EventKind = "change_sent"
	ChangeClosed EventKind = "change_closed"
	EvacuateSent EventKind = "evacuate_sent"
	Evacuated    EventKind = "evacuated"
	TakenBack    EventKind = "taken_back"
	ReadBack     EventKind = "read_back"
)

// What the kit does to machines.
const (
	MachineUp     EventKind = "machine_up"
	MachineKilled EventKind = "machine_killed"
	MachineTerm   EventKind = "machine_term"
	MachineFrozen EventKind = "machine_frozen"
	MachineThawed EventKind = "machine_thawed"
	MachineGone   EventKind = "machine_gone"
	EndedByItself EventKind = "ended_by_itself"
	ClosingFault  EventKind = "closing_fault"
	ClosingBack   EventKind = "closing_back"
	FaultBegan    EventKind = "fault_began"
)
