package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/scheduler"
)

// DecisionKind names a kind of decision.
type DecisionKind string

// The kinds of decision.
const (
	// ClaimRequest asks the primary for the right to run a request that is not
	// idempotent; ClaimAnswered answers.
	ClaimRequest DecisionKind = "claim"
	// DispatchPrefill sends the prompt to a prefill server; PrefillAnswered answers.
	DispatchPrefill DecisionKind = "prefill"
	// DispatchDecode has a decode server fetch the KV cache from the prefill server and
	// stream; ChunkReceived and DecodeEnded answer.
	DispatchDecode DecisionKind = "decode"
	// SendChunk sends a chunk on to the client.
	SendChunk DecisionKind = "send_piece"
	// Finish sends the client the final status; nothing follows it.
	Finish DecisionKind = "finish"
	// Cancel tells a server to give up a run.
	Cancel DecisionKind = "cancel"
	// ForwardToPeer sends the request to another router, because this one lacks an
	// enabled feature flag.
	ForwardToPeer DecisionKind = "pass_on"
	// RecordPair and RecordRetry are for the logs: the chosen pair, and that this
	// dispatch is beyond the request's first.
	RecordPair  DecisionKind = "note_pair"
	RecordRetry DecisionKind = "note_retry"
	// SubmitOrders submits new orders to the controllers.
	SubmitOrders DecisionKind = "give_orders"
	// CommandServer sends a server the order in force for it, with the fencing token.
	CommandServer DecisionKind = "command"
	// CallDecided is what is next with an opaque call.
	CallDecided DecisionKind = "call"
)

// Decision is one thing to be done. NotAfter is checked again just before the act: past
// it the act is left undone and its outcome is OutcomeNotStarted.
type Decision struct {
	Kind     DecisionKind `json:"decision"`
	ID       string       `json:"id,omitempty"`
	Run      int          `json:"run,omitempty"`
	Request  *Request     `json:"inquiry,omitempty"`
	NotAfter time.Time    `json:"not_after,omitzero"`

	// Server and Address are whom to send to; SourceAddress is the prefill server that
	// has the KV cache named by Handle.
	Server        string `json:"server,omitempty"`
	Address       string `json:"address,omitempty"`
	SourceAddress string `json:"source_address,omitempty"`
	Handle        string `json:"handle,omitempty"`
	// Token is new for each dispatch to a server, so that the server recognizes one that
	// the network delivers twice. The core leaves it to who carries the decision out.
	Token string `json:"token,omitempty"`

	// Chunk is the number of a chunk from 1, Chunks how many were sent in all.
	Chunk  int          `json:"piece,omitempty"`
	Text   string       `json:"text,omitempty"`
	Final  FinalStatus  `json:"final,omitempty"`
	Cause  failure.Code `json:"cause,omitempty"`
	Detail string       `json:"detail,omitempty"`
	Chunks int          `json:"pieces,omitempty"`
	// Retry is after what time the client may come back.
	Retry time.Duration `json:"retry,omitempty"`

	ServerRole ServerRole    `json:"part,omitempty"`
	Role       lease.Role    `json:"duty,omitzero"`
	Order      *codec.Order  `json:"order,omitempty"`
	Orders     []codec.Order `json:"orders,omitempty"`
	Pair       *codec.Pair   `json:"pair,omitempty"`
	// Call is what is next with the opaque call ID.
	Call *scheduler.Decision `json:"call,omitempty"`
}
