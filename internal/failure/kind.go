package failure

// Kind names a sort of trouble; it is also the word that callers and operators
// read as "type" in JSON.
type Kind string

// The kinds of trouble.
const (
	Unsorted         Kind = "unsorted"
	Disk             Kind = "disk"
	Damaged          Kind = "damaged"
	Garbage          Kind = "garbage"
	Oversize         Kind = "oversize"
	Unreachable      Kind = "unreachable"
	NoPrimary        Kind = "no_primary"
	NotPrimary       Kind = "not_primary"
	Deposed          Kind = "deposed"
	Behind           Kind = "behind"
	NotAdmitted      Kind = "not_admitted"
	HoldActive       Kind = "hold_active"
	OldEpoch         Kind = "old_epoch"
	Unknown          Kind = "outcome_unknown"
	VersionConflict  Kind = "version_conflict"
	RevisionConflict Kind = "revision_conflict"
	Moved            Kind = "configuration_moved"
	NoHold           Kind = "no_hold"
	Restricted       Kind = "restricted"
	Duplicate        Kind = "duplicate_inquiry"
	TooOld           Kind = "inquiry_too_old"
	TooNew           Kind = "inquiry_from_the_future"
	NotHolder        Kind = "not_holder"
	NoSuch           Kind = "no_such"

	Malformed     Kind = "malformed"
	WrongType     Kind = "wrong_type"
	UnknownField  Kind = "unknown_field"
	Missing       Kind = "missing"
	OutOfRange    Kind = "out_of_range"
	Contradictory Kind = "contradictory"

	UnknownService Kind = "unknown_service"
	NoRoute        Kind = "no_route"
	RouteRefuses   Kind = "route_refuses"
	Evacuated      Kind = "every_district_evacuated"
	Busy           Kind = "busy"
	ServerFailed   Kind = "server_failed"
	BudgetSpent    Kind = "extra_tries_spent"
	LimitPassed    Kind = "limit_passed"
	ClientLeft     Kind = "origin_left"
	Draining       Kind = "draining"
)
