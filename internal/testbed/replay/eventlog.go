// Package replay simulates days of the users' platform over loopback, around the product's programs
// as they are deployed. It provides model servers with engines, the list of servers, operators,
// clients and the machines that the programs run on. These stand-ins record events, against which
// the package checks the rules.
package replay

import (
	"encoding/json"
	"os"
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// EventLog collects the events of one day.
type EventLog struct {
	mutex  sync.Mutex
	events []Event
}

// Append adds an event. An event without a time gets the current time.
func (l *EventLog) Append(event Event) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if event.At.IsZero() {
		event.At = time.Now()
	}
	l.events = append(l.events, event)
}

// Events returns all events ordered by time.
func (l *EventLog) Events() []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	events := append([]Event(nil), l.events...)
	sort.SliceStable(events, func(left, right int) bool { return events[left].At.Before(events[right].At) })
	return events
}

// Save writes the event log as JSON lines.
func (l *EventLog) Save(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	encoder := json.NewEncoder(file)
	for _, event := range l.Events() {
		if err := encoder.Encode(event); err != nil {
			_ = file.Close()
			return failure.Wrap(failure.Disk, err)
		}
	}
	return failure.Wrap(failure.Disk, file.Close())
}

// Event is one entry of the event log: something that a stand-in observed on its own sockets or
// did itself.
type Event struct {
	At      time.Time `json:"at"`
	Kind    EventKind `json:"kind"`
	Machine string    `json:"machine,omitempty"`
	Zone    string    `json:"zone,omitempty"`

	AttemptID string `json:"try,omitempty"`
	Request   string `json:"request,omitempty"`
	Class     string `json:"class,omitempty"`
	Route     string `json:"route,omitempty"`
	// Number counts the attempts of one request from 0.
	Number       int           `json:"number,omitempty"`
	Idempotent   bool          `json:"repeatable,omitempty"`
	Probe        bool          `json:"probe,omitempty"`
	Digest       string        `json:"digest,omitempty"`
	Deadline     time.Duration `json:"deadline,omitempty"`
	Target       time.Duration `json:"aim,omitempty"`
	Began        time.Time     `json:"began,omitzero"`
	FirstEventAt time.Time     `json:"first,omitzero"`
	LastEventID  int           `json:"behind,omitempty"`

	Status   int    `json:"status,omitempty"`
	Seal     string `json:"seal,omitempty"`
	Complete bool   `json:"complete,omitempty"`
	// Truncated means that a stream ended within an event.
	Truncated bool `json:"truncated,omitempty"`
	// GaveUp means that the client closed the connection itself. AnsweredAttempt is the ID of the
	// attempt that the response names.
	GaveUp          bool    `json:"gave_up,omitempty"`
	AnsweredAttempt string  `json:"bears,omitempty"`
	Cause           string  `json:"cause,omitempty"`
	Spans           []Span  `json:"spans,omitempty"`
	LongestGap      float64 `json:"stall,omitempty"`

	Server       string `json:"server,omitempty"`
	Service      string `json:"service,omitempty"`
	WorkPhase    string `json:"stage,omitempty"`
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

// Span is one event of a stream as a client read it: the range of tokens in it, and the run that
// generated them.
type Span struct {
	ID   int    `json:"id"`
	From int    `json:"from"`
	To   int    `json:"to"`
	Run  string `json:"run"`
	// RequestDigest is the digest of the request that the run belongs to.
	RequestDigest string `json:"whose"`
}

// EventKind names what a stand-in observed or did.
type EventKind string

// Events of clients and of the load balancer.
const (
	// AttemptSent: a client starts to send an attempt to a machine.
	AttemptSent EventKind = "try_sent"
	// AttemptEnded: the response to an attempt ended, or the client gave up.
	AttemptEnded EventKind = "try_ended"
	// StrayBytes: bytes arrived on a connection that had no request in flight.
	StrayBytes EventKind = "stray_bytes"
	// ReadinessProbed: a machine was probed; Status is its response.
	ReadinessProbed EventKind = "ready_asked"
)

// Events of model servers.
const (
	ServerStarted EventKind = "server_born"
	ServerStopped EventKind = "server_gone"
	// RequestArrived: a request reached a server; Status is set if it was rejected at once.
	RequestArrived EventKind = "arrived"
	// RequestRejected: the server responded that it did not run the request.
	RequestRejected EventKind = "turned_away"
	// RunStarted: the first token was generated. RunEnded: the server's work on the request ended.
	RunStarted EventKind = "run_started"
	RunEnded   EventKind = "run_ended"
	// PromptPrefilled: a prompt was prefilled and a handle to its KV cache was created.
	PromptPrefilled EventKind = "prompt_read"
	HandleTaken     EventKind = "handle_taken"
	HandleFreed     EventKind = "handle_freed"
	HandleExpired   EventKind = "handle_lost"
	// OrderReceived: an order reached a server.
	OrderReceived EventKind = "ordered"
	ServerProbed  EventKind = "probed"
	// PrefixRecomputed counts the shared tokens that were prefilled although some server had them.
	PrefixRecomputed EventKind = "parts_read_again"
)

// Events of the platform and its operators.
const (
	// ShownLeaving: the list shows a server as draining, or no longer shows the server.
	ShownLeaving    EventKind = "shown"
	ListRead        EventKind = "list_read"
	ChangeSent      EventKind = "change_sent"
	ChangeClosed    EventKind = "change_closed"
	EvacuationSent  EventKind = "evacuate_sent"
	Evacuated       EventKind = "evacuated"
	EvacuationEnded EventKind = "taken_back"
	ReadBack        EventKind = "read_back"
)

// Events of machines, and faults that the test bed causes.
const (
	MachineUp         EventKind = "machine_up"
	MachineKilled     EventKind = "machine_killed"
	MachineTerminated EventKind = "machine_term"
	MachineFrozen     EventKind = "machine_frozen"
	MachineResumed    EventKind = "machine_thawed"
	MachineRemoved    EventKind = "machine_gone"
	ProcessExited     EventKind = "ended_by_itself"
	ClosingFault      EventKind = "closing_fault"
	ClosingFaultEnded EventKind = "closing_back"
	FaultBegan        EventKind = "fault_began"
)
