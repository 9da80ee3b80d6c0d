package failure

// Code says what went wrong, so that programs can act on it. Its text stands as "type" in
// JSON answers, reply lines and messages between nodes, and never changes.
type Code string

// Codes of disks, messages and reachability.
const (
	// Unsorted stands for every error without a code of its own.
	Unsorted Code = "unsorted"
	// Disk: the file system refused a read, a write or a sync.
	Disk Code = "disk"
	// Damaged: a file of the replica is missing or its checksum is wrong.
	Damaged Code = "damaged"
	// Garbage: bytes that this build can't decode, or a value that it can't encode.
	Garbage Code = "garbage"
	// Oversize: a message or configuration above the largest size.
	Oversize Code = "oversize"
	// Unreachable: the other node did not respond, or not to the end.
	Unreachable Code = "unreachable"
)

// Codes of the replicated state and its election.
const (
	// NoPrimary: no primary with a running lease is known, or its state is not ready yet.
	NoPrimary Code = "no_primary"
	// NotPrimary: the asked controller is not primary; the change was not accepted.
	NotPrimary Code = "not_primary"
	// Deposed: a newer membership has another primary.
	Deposed Code = "deposed"
	// Behind: the batch or snapshot does not follow the replica's version.
	Behind Code = "behind"
	// NotAdmitted: the identity is not, or no longer, part of the membership.
	NotAdmitted Code = "not_admitted"
	// LeaseActive: another's lease still runs, or the node is still alive.
	LeaseActive Code = "hold_active"
	// OldEpoch: a higher epoch has been promised.
	OldEpoch Code = "old_epoch"
	// Unknown: the change may or may not be in force; ask again under the same id.
	Unknown Code = "outcome_unknown"
	// VersionConflict: the configuration is not at the expected version.
	VersionConflict Code = "version_conflict"
	// LateOrder: the order came on a connection older than what it would change; send it again on a
	// new one.
	LateOrder Code = "late_order"
	// RevisionConflict: the configuration is not at the expected revision.
	RevisionConflict Code = "revision_conflict"
	// ConfigurationMoved: the configuration changed while an edit of it was prepared.
	ConfigurationMoved Code = "configuration_moved"
	// NoLease: the router's lease on the configuration has run out.
	NoLease Code = "no_hold"
	// Restricted: the node lacks a feature flag that is enabled.
	Restricted Code = "restricted"
	// Duplicate: the id is taken already by another request or change.
	Duplicate Code = "duplicate_inquiry"
	// TooOld: the request's id is from before the horizon of remembered ids.
	TooOld Code = "inquiry_too_old"
	// TooNew: the request's id is from the future.
	TooNew Code = "inquiry_from_the_future"
	// NotHolder: the fencing token is not that of the role's present holder.
	NotHolder Code = "not_holder"
	// NoSuch: the named thing does not exist.
	NoSuch Code = "no_such"
)

// Codes of checks; the error's Path names the value.
const (
	// Malformed: not the syntax that was expected.
	Malformed Code = "malformed"
	// WrongType: a value of another type was expected.
	WrongType Code = "wrong_type"
	// UnknownField: no such field or setting.
	UnknownField Code = "unknown_field"
	// Missing: a field that must be given is not.
	Missing Code = "missing"
	// OutOfRange: the value is outside what is allowed.
	OutOfRange Code = "out_of_range"
	// Contradictory: two values that exclude each other, or a reference to nothing.
	Contradictory Code = "contradictory"
)

// Codes of the outcome of a request at a router.
const (
	// UnknownService: no such service is configured.
	UnknownService Code = "unknown_service"
	// NoRoute: no route matches the request.
	NoRoute Code = "no_route"
	// RouteRefuses: the matching route refuses requests.
	RouteRefuses Code = "route_refuses"
	// Evacuated: every zone that the route names is evacuated.
	Evacuated Code = "every_district_evacuated"
	// Busy: no capacity now; ask again later.
	Busy Code = "busy"
	// NotSupported: a recorded member lacks a flag that the change needs; ask again later.
	NotSupported Code = "not_supported"
	// ServerFailed: the model server failed the request.
	ServerFailed Code = "server_failed"
	// BudgetSpent: the retry budget is used up.
	BudgetSpent Code = "extra_tries_spent"
	// DeadlinePassed: the request's deadline has passed.
	DeadlinePassed Code = "limit_passed"
	// ClientLeft: the client closed its connection.
	ClientLeft Code = "origin_left"
	// Draining: the router is shutting down.
	Draining Code = "draining"
)
