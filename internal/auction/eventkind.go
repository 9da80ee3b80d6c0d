package auction

// EventKind names a sort of event.
type EventKind string

// The kinds of event.
const (
	Ticked                EventKind = "ticked"
	ServersListed         EventKind = "servers_listed"
	LoadReported          EventKind = "load_reported"
	ConfigurationReceived EventKind = "menu_received"
	// ConfigurationProvisional brings a configuration that no primary has confirmed in this life.
	ConfigurationProvisional EventKind = "menu_lent"
	LeaseRenewed             EventKind = "hold_renewed"
	FlagsRead                EventKind = "flags_read"
	OrdersRead               EventKind = "orders_read"
	RequestArrived           EventKind = "inquiry_arrived"
	ClaimAnswered            EventKind = "claim_answered"
	PrefillAnswered          EventKind = "prefill_answered"
	ChunkReceived            EventKind = "piece_received"
	DecodeEnded              EventKind = "decode_ended"
	ClientDisconnected       EventKind = "origin_left"
	DrainStarted             EventKind = "drain_started"
	RoutersCounted           EventKind = "couriers_counted"
	// LoadsReported, CallArrived and CallEnded are about opaque calls.
	LoadsReported EventKind = "loads_reported"
	CallArrived   EventKind = "call_arrived"
	CallEnded     EventKind = "call_ended"
)
