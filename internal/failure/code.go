package failure

// Code classifies an error so that programs can act on it. Its text is the value of "type" in
// JSON responses, reply lines and messages between nodes, and never changes.
type Code string

// Codes of disks, messages and reachability.
const (
	// Unclassified is the code of every error that has no code of its own.
	Unclassified Code = "unsorted"
	// Disk: the file system refused a read, a write or a sync.
	Disk Code = "disk"
	// Damaged: a file of the replica is missing or its checksum is wrong.
	Damaged Code = "damaged"
	// Garbage: bytes that this build cannot decode, or a value that it cannot encode.
	Garbage Code = "garbage"
	// Oversize: a message or configuration larger than the maximum size.
	Oversize Code = "oversize"
	// Unreachable: the other node did not respond, or its response was cut off.
	Unreachable Code = "unreachable"
)

// Codes of the replicated state and its election.
const (
	// NoPrimary: no primary with an unexpired lease is known, or its state is not ready yet.
	NoPrimary Code = "no_primary"
	// NotPrimary: the controller that received the request is not the primary; the change was not accepted.
	NotPrimary Code = "not_primary"
	// Deposed: a newer membership has another primary.
	Deposed Code = "deposed"
	// Behind: the batch or snapshot does not continue from the replica's version.
	Behind Code = "behind"
	// NotAdmitted: the identity is not, or no longer, part of the membership.
	NotAdmitted Code = "not_admitted"
	// LeaseActive: the lease of another node has not expired, or the node is still alive.
	LeaseActive Code = "hold_active"
	// OldEpoch: the replica has already promised a higher epoch.
	OldEpoch Code = "old_epoch"
	// OutcomeUnknown: the change may or may not have taken effect; retry with the same id.
	OutcomeUnknown Code = "outcome_unknown"
	// VersionConflict: the configuration is not at the expected version.
	VersionConflict Code = "version_conflict"
	// LateOrder: the order arrived on a connection older than the state that it would change; send it again
	// on a new connection.
	LateOrder Code = "late_order"
	// RevisionConflict: the configuration is not at the expected revision.
	RevisionConflict Code = "revision_conflict"
	// ConfigurationMoved: the configuration changed while an edit of it was prepared.
	ConfigurationMoved Code = "configuration_moved"
	// NoLease: the router's lease on the configuration has expired.
	NoLease Code = "no_hold"
	// Restricted: the node lacks a feature flag that is enabled.
	Restricted Code = "restricted"
	// Duplicate: another request or change already uses the id.
	Duplicate Code = "duplicate_inquiry"
	// TooOld: the request's id is older than the oldest ids that are still stored.
	TooOld Code = "inquiry_too_old"
	// TooNew: the request's id is from the future.
	TooNew Code = "inquiry_from_the_future"
	// NotLeaseHolder: the fencing token does not belong to the current holder of the singleton role.
	NotLeaseHolder Code = "not_holder"
	// NoSuch: the object that the request names does not exist.
	NoSuch Code = "no_such"
)

// Codes of validation errors; the error's Path locates the value.
const (
	// Malformed: the syntax is not the expected one.
	Malformed Code = "malformed"
	// WrongType: the value does not have the expected type.
	WrongType Code = "wrong_type"
	// UnknownField: the field or setting does not exist.
	UnknownField Code = "unknown_field"
	// Missing: a required field is absent.
	Missing Code = "missing"
	// OutOfRange: the value is outside the allowed range.
	OutOfRange Code = "out_of_range"
	// Contradictory: two values exclude each other, or a reference names an object that does not exist.
	Contradictory Code = "contradictory"
)

// Codes of the outcome of a request at a router.
const (
	// UnknownService: the requested service is not configured.
	UnknownService Code = "unknown_service"
	// NoRoute: no route matches the request.
	NoRoute Code = "no_route"
	// RouteRefuses: the matching route is configured to reject all requests.
	RouteRefuses Code = "route_refuses"
	// Evacuated: every zone that the route names is evacuated.
	Evacuated Code = "every_district_evacuated"
	// Busy: there is no capacity now; retry later.
	Busy Code = "busy"
	// NotSupported: a recorded member lacks a flag that the change needs; retry later.
	NotSupported Code = "not_supported"
	// ServerFailed: the model server failed the request.
	ServerFailed Code = "server_failed"
	// BudgetSpent: the retry budget is exhausted.
	BudgetSpent Code = "extra_tries_spent"
	// DeadlinePassed: the request's deadline has passed.
	DeadlinePassed Code = "limit_passed"
	// ClientDisconnected: the client closed its connection.
	ClientDisconnected Code = "origin_left"
	// Draining: the router is shutting down.
	Draining Code = "draining"
)
