package failure

// Code names a sort of trouble; it is also the word that callers and operators
// read as "type" in JSON.
type Code string

// The kinds of trouble.
const (
	Unsorted         Code = "unsorted"
	Disk             Code = "disk"
	Damaged          Code = "damaged"
	Garbage          Code = "garbage"
	Oversize         Code = "oversize"
	Unreachable      Code = "unreachable"
	NoPrimary        Code = "no_primary"
	NotPrimary       Code = "not_primary"
	Deposed          Code = "deposed"
	Behind           Code = "behind"
	NotAdmitted      Code = "not_admitted"
	LeaseActive      Code = "hold_active"
	OldEpoch         Code = "old_epoch"
	Unknown          Code = "outcome_unknown"
	VersionConflict  Code = "version_conflict"
	RevisionConflict Code = "revision_conflict"
	Moved            Code = "configuration_moved"
	NoLease          Code = "no_hold"
	Restricted       Code = "restricted"
	Duplicate        Code = "duplicate_inquiry"
	TooOld           Code = "inquiry_too_old"
	TooNew           Code = "inquiry_from_the_future"
	NotHolder        Code = "not_holder"
	NoSuch           Code = "no_such"

	Malformed     Code = "malformed"
	WrongType     Code = "wrong_type"
	UnknownField  Code = "unknown_field"
	Missing       Code = "missing"
	OutOfRange    Code = "out_of_range"
	Contradictory Code = "contradictory"

	UnknownService Code = "unknown_service"
	NoRoute        Code = "no_route"
	RouteRefuses   Code = "route_refuses"
	Evacuated      Code = "every_district_evacuated"
	Busy           Code = "busy"
	ServerFailed   Code = "server_failed"
	BudgetSpent    Code = "extra_tries_spent"
	DeadlinePassed Code = "limit_passed"
	ClientLeft     Code = "origin_left"
	Draining       Code = "draining"
)
