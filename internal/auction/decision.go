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
	// idempotent; the answer is a ClaimAnswered event.
	ClaimRequest DecisionKind = "claim"
	// DispatchPrefill sends the prompt to a prefill server; the answer is a
	// PrefillAnswered event.
	DispatchPrefill DecisionKind = "prefill"
	// DispatchDecode has a decode server fetch the KV cache from the prefill server and
	// stream the reply; the answers are ChunkReceived events and a DecodeEnded event.
	DispatchDecode DecisionKind = "decode"
	// SendChunk forwards a chunk to the client.
	SendChunk DecisionKind = "send_piece"
	// Finish sends the client the final status. It is the last decision on the request.
	Finish DecisionKind = "finish"
	// Cancel asks a server to stop a run.
	Cancel DecisionKind = "cancel"
	// ForwardToPeer sends the request to another router, because this router does not
	// support an enabled feature flag.
	ForwardToPeer DecisionKind = "pass_on"
	// RecordPair adds a record of the chosen pair of servers to the journal, and RecordRetry a
	// record of a retry.
	RecordPair  DecisionKind = "note_pair"
	RecordRetry DecisionKind = "note_retry"
	// SubmitOrders submits new orders to the controllers.
	SubmitOrders DecisionKind = "give_orders"
	// CommandServer sends a server the order in force for it, with the fencing token.
	CommandServer DecisionKind = "command"
	// CallDecided carries the scheduler's next decision on an opaque call.
	CallDecided DecisionKind = "call"
)

// Decision is one action for the embedding program to carry out. NotAfter is checked again
// just before the action: after that time the action is skipped and its outcome is
// OutcomeNotStarted.
type Decision struct {
	Kind     DecisionKind `json:"decision"`
	ID       string       `json:"id,omitempty"`
	Run      int          `json:"run,omitempty"`
	Request  *Request     `json:"inquiry,omitempty"`
	NotAfter time.Time    `json:"not_after,omitzero"`

	// Server and Address are the name and address of the server to send to. SourceAddress
	// is the address of the prefill server that has the KV cache named by Handle.
	Server        string `json:"server,omitempty"`
	Address       string `json:"address,omitempty"`
	SourceAddress string `json:"source_address,omitempty"`
	Handle        string `json:"handle,omitempty"`
	// Token is unique for each dispatch to a server, so that the server recognizes a
	// dispatch that the network delivers twice. The core leaves it empty; the program that
	// carries out the decision sets it.
	Token string `json:"token,omitempty"`

	// Chunk is the number of a chunk, starting at 1; Chunks is the total number sent.
	Chunk  int          `json:"piece,omitempty"`
	Text   string       `json:"text,omitempty"`
	Final  FinalStatus  `json:"final,omitempty"`
	Cause  failure.Code `json:"cause,omitempty"`
	Detail string       `json:"detail,omitempty"`
	Chunks int          `json:"pieces,omitempty"`
	// RetryAfter is the delay after which the client may retry.
	RetryAfter time.Duration `json:"retry,omitempty"`

	ServerRole ServerRole    `json:"part,omitempty"`
	Role       lease.Role    `json:"duty,omitzero"`
	Order      *codec.Order  `json:"order,omitempty"`
	Orders     []codec.Order `json:"orders,omitempty"`
	Pair       *codec.Pair   `json:"pair,omitempty"`
	// Call is the scheduler's decision on the opaque call named by ID.
	Call *scheduler.Decision `json:"call,omitempty"`
}
