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

// Kinds of events about the fleet. Each comment ends with the fields of Event that the kind
// uses in addition to At.
const (
	// Ticked advances the time: deadlines, timeouts and roles are checked. No fields.
	Ticked EventKind = "ticked"
	// ServersListed replaces the list of servers. Fields: Servers.
	ServersListed EventKind = "servers_listed"
	// LoadReported carries the load report of one model server. Fields: Load.
	LoadReported EventKind = "load_reported"
	// LoadsReported carries load reports of the servers of opaque calls. Fields: Loads.
	LoadsReported EventKind = "loads_reported"
	// RoutersCounted sets how many routers share the servers. Fields: Number.
	RoutersCounted EventKind = "couriers_counted"
	// ConfigurationReceived carries an accepted configuration.
	// Fields: Configuration, Epoch, Number.
	ConfigurationReceived EventKind = "menu_received"
	// ConfigurationProvisional carries a configuration that no primary has confirmed since
	// the router started. Fields: Configuration, Epoch, Number.
	ConfigurationProvisional EventKind = "menu_lent"
	// LeaseRenewed renews the router's lease. Fields: LeaseEnds, Epoch, Number, Roles.
	LeaseRenewed EventKind = "hold_renewed"
	// FlagsRead carries the enabled feature flags. Fields: Enabled.
	FlagsRead EventKind = "flags_read"
	// OrdersRead carries the orders in force by server. Fields: Orders.
	OrdersRead EventKind = "orders_read"
	// DrainStarted stops the admission of requests. No fields.
	DrainStarted EventKind = "drain_started"
)

// Kinds of events about one request. Except for RequestArrived they have the request's ID;
// PrefillAnswered, ChunkReceived and DecodeEnded also have the Run. Each comment ends with
// the other fields that the kind uses.
const (
	// RequestArrived carries a new request. Fields: Request.
	RequestArrived EventKind = "inquiry_arrived"
	// ClaimAnswered is the answer to ClaimRequest. Fields: Outcome, Detail.
	ClaimAnswered EventKind = "claim_answered"
	// PrefillAnswered is the answer to DispatchPrefill. Fields: Outcome, Handle.
	PrefillAnswered EventKind = "prefill_answered"
	// ChunkReceived carries the next chunk of the stream.
	// Fields: Chunk (its number, starting at 1), Text.
	ChunkReceived EventKind = "piece_received"
	// DecodeEnded is the answer to DispatchDecode. Fields: Outcome, Chunk (the number of
	// chunks sent).
	DecodeEnded EventKind = "decode_ended"
	// ClientDisconnected reports that the client has closed its connection.
	ClientDisconnected EventKind = "origin_left"
)

// Kinds of events about an opaque call.
const (
	// CallArrived carries a new call. Fields: Call.
	CallArrived EventKind = "call_arrived"
	// CallEnded reports how the dispatch of a call ended. Fields: ID, Result.
	CallEnded EventKind = "call_ended"
)

// Event is one input of the core, with the time (At) at which it happened. Its kind determines
// which other fields are used; the rest are ignored.
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
