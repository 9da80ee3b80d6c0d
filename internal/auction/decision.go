package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/scheduler"
)

// Decision is one thing to be done. NotAfter is checked again just before the
// act: past it the act is left undone and its outcome is OutcomeNotStarted.
type Decision struct {
	Kind     DecisionKind `json:"decision"`
	ID       string       `json:"id,omitempty"`
	Run      int          `json:"run,omitempty"`
	Request  *Request     `json:"inquiry,omitempty"`
	NotAfter time.Time    `json:"not_after,omitzero"`

	Server        string `json:"server,omitempty"`
	Address       string `json:"address,omitempty"`
	SourceAddress string `json:"source_address,omitempty"`
	Handle        string `json:"handle,omitempty"`
	// Token is new for each order to a server, so that one which a link brings
	// twice is told. The core leaves it to who carries the decision out.
	Token string `json:"token,omitempty"`

	Chunk  int          `json:"piece,omitempty"`
	Text   string       `json:"text,omitempty"`
	Final  FinalStatus  `json:"final,omitempty"`
	Cause  failure.Code `json:"cause,omitempty"`
	Detail string       `json:"detail,omitempty"`
	Chunks int          `json:"pieces,omitempty"`
	// Retry is when the caller may come back.
	Retry time.Duration `json:"retry,omitempty"`

	Part   Part          `json:"part,omitempty"`
	Role   lease.Role    `json:"duty,omitzero"`
	Order  *codec.Order  `json:"order,omitempty"`
	Orders []codec.Order `json:"orders,omitempty"`
	Pair   *codec.Pair   `json:"pair,omitempty"`
	// Call is what is next with the opaque call ID.
	Call *scheduler.Decision `json:"call,omitempty"`
}
