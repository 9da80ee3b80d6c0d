package larder

import "seamloom.example/seamloom/internal/rota"

// Duties are the recorded holders of the keys, and the last fence given.
type Duties struct {
	Duties map[string]rota.Duty `msgpack:"duties"`
	Fence  uint64               `msgpack:"fence"`
}
