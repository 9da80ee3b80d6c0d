package auction

import (
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/scheduler"
)

// Event is one thing that happened, at a time. Which fields it has besides
// depends on its kind.
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

	// Call arrived, Result is how its dispatch ended, Loads are what servers of calls
	// reported.
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
