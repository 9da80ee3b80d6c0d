package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// EventKind names a kind of event.
type EventKind string

// The kinds of event about the fleet, with the fields of Event that each reads besides At.
const (
	// Ticked lets time pass: deadlines, timeouts and roles are looked at.
	Ticked EventKind = "ticked"
	// ServersListed replaces the list of servers: Servers.
	ServersListed EventKind = "servers_listed"
	// LoadReported brings one model server's report: Load.
	LoadReported EventKind = "load_reported"
	// LoadsReported brings the reports of servers of opaque calls: Loads.
	LoadsReported EventKind = "loads_reported"
	// RoutersCounted tells how many routers share the servers: Number.
	RoutersCounted EventKind = "couriers_counted"
	// ConfigurationReceived brings an accepted configuration: Configuration, Epoch, Number.
	ConfigurationReceived EventKind = "menu_received"
	// ConfigurationProvisional brings one that no primary has confirmed since the router
	// started; the fields are the same.
	ConfigurationProvisional EventKind = "menu_lent"
	// LeaseRenewed brings the router's lease: LeaseEnds, Epoch, Number, Roles.
	LeaseRenewed EventKind = "hold_renewed"
	// FlagsRead brings the enabled feature flags: Enabled.
	FlagsRead EventKind = "flags_read"
	// OrdersRead brings the orders in force by server: Orders.
	OrdersRead EventKind = "orders_read"
	// DrainStarted ends admission.
	DrainStarted EventKind = "drain_started"
)

// The kinds of event about one request, named by ID, and by Run from its dispatch on.
const (
	// RequestArrived brings a new request: Request.
	RequestArrived EventKind = "inquiry_arrived"
	// ClaimAnswered answers ClaimRequest: Outcome, Detail.
	ClaimAnswered EventKind = "claim_answered"
	// PrefillAnswered answers DispatchPrefill: Outcome, Handle.
	PrefillAnswered EventKind = "prefill_answered"
	// ChunkReceived brings the stream's next chunk: Chunk (its number from 1), Text.
	ChunkReceived EventKind = "piece_received"
	// DecodeEnded answers DispatchDecode: Outcome, Chunk (how many there were).
	DecodeEnded EventKind = "decode_ended"
	// ClientDisconnected tells that nobody waits for the reply any more.
	ClientDisconnected EventKind = "origin_left"
)

// The kinds of event about an opaque call.
const (
	// CallArrived brings a new call: Call.
	CallArrived EventKind = "call_arrived"
	// CallEnded tells how the dispatch of a call ended: ID, Result.
	CallEnded EventKind = "call_ended"
)

// Event is one thing that happened, at a time. Which fields it has besides depends on its
// kind; fields of other kinds are ignored.
type Event struct {
	Kind    EventKind `json:"event"`
	At      time.Time `json:"at"`
	Request *Request  `json:"inquiry,omitempty"`
	ID      string    `json:"id,omitempty"`
	Run     int       `json:"run,omitempty"`
	Outcome Outcome   `json:"outcome,omitempty"`
	Detail  string    `json:"detail,omitempty"`

	Handle string `json:"handle,omitempty"`
	Chunk  int    `json:"piece,omitempty"`
	Text   string `json:"text,omitempty"`

	Servers []membership.Server `json:"servers,omitempty"`
	Load    *Load               `json:"load,omitempty"`
	Server  string              `json:"server,omitempty"`

	Call   *scheduler.Call    `json:"call,omitempty"`
	Result *scheduler.Outcome `json:"result,omitempty"`
	Loads  []scheduler.Load   `json:"loads,omitempty"`

	LeaseEnds     time.Time              `json:"hold_ends,omitzero"`
	Number        uint64                 `json:"number,omitempty"`
	Epoch         uint64                 `json:"epoch,omitempty"`
	Configuration []byte                 `json:"menu,omitempty"`
	Enabled       features.List          `json:"enabled,omitempty"`
	Roles         []lease.Role           `json:"duties,omitempty"`
	Orders        map[string]codec.Order `json:"orders,omitempty"`
}
