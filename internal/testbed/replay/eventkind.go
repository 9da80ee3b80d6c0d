package replay

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
