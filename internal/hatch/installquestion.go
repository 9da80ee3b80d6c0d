package hatch

import "seamloom.example/seamloom/internal/larder"

// installQuestion brings a whole copy.
type installQuestion struct {
	To       larder.Identity `msgpack:"to"`
	Snapshot larder.Snapshot `msgpack:"snapshot"`
}
