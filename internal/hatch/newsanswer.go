package hatch

import (
	"time"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/rota"
)

// NewsAnswer is what the primary answers: the drawers that are newer, and a
// hold that confirms the configuration's version. Who is not primary answers
// with the charter alone.
type NewsAnswer struct {
	Leads   bool                     `msgpack:"leads"`
	Charter larder.Charter           `msgpack:"charter"`
	Drawers map[string]larder.Drawer `msgpack:"drawers,omitempty"`
	Deltas  map[string]Delta         `msgpack:"deltas,omitempty"`
	Menu    larder.Version           `msgpack:"menu"`
	Hold    time.Duration            `msgpack:"hold"`
	Duties  []rota.Duty              `msgpack:"duties,omitempty"`
}
