package fleet

// EntryKind names a sort of entry.
type EntryKind string

// The kinds of entry. The servers', the platform's, the callers' and the
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
