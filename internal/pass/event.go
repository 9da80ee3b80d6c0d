package pass

import (
	"time"

	"seamloom.example/seamloom/internal/recipe"
	"seamloom.example/seamloom/internal/roster"
	"seamloom.example/seamloom/internal/rota"
	"seamloom.example/seamloom/internal/window"
)

// Event is one thing that happened, at a time. Which fields it has besides
// depends on its kind.
type Event struct {
	Kind    EventKind `json:"event"`
	At      time.Time `json:"at"`
	Inquiry *Inquiry  `json:"inquiry,omitempty"`
	ID      string    `json:"id,omitempty"`
	Run     int       `json:"run,omitempty"`
	Outcome Outcome   `json:"outcome,omitempty"`
	Detail  string    `json:"detail,omitempty"`

	Handle string `json:"handle,omitempty"`
	Piece  int    `json:"piece,omitempty"`
	Text   string `json:"text,omitempty"`

	Servers []roster.Server `json:"servers,omitempty"`
	Load    *Load           `json:"load,omitempty"`
	Server  string          `json:"server,omitempty"`

	// Call arrived, Result is how its dispatch ended, Loads are what servers of calls
	// reported.
	Call   *window.Call    `json:"call,omitempty"`
	Result *window.Outcome `json:"result,omitempty"`
	Loads  []window.Load   `json:"loads,omitempty"`

	HoldEnds time.Time               `json:"hold_ends,omitzero"`
	Number   uint64                  `json:"number,omitempty"`
	Epoch    uint64                  `json:"epoch,omitempty"`
	Menu     []byte                  `json:"menu,omitempty"`
	Enabled  recipe.List             `json:"enabled,omitempty"`
	Duties   []rota.Duty             `json:"duties,omitempty"`
	Orders   map[string]recipe.Order `json:"orders,omitempty"`
}
