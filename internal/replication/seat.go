package replication

// Identity names one disk. A process that finds its disk blank takes a new one.
type Identity string

// Seat is an expediter in a charter: whose disk, and where it is reached. The
// district is told only where more than one loss is to be borne.
type Seat struct {
	Identity Identity `msgpack:"identity" json:"identity"`
	Address  string   `msgpack:"address" json:"address"`
	Name     string   `msgpack:"name" json:"name"`
	District string   `msgpack:"district,omitempty" json:"district,omitempty"`
}

// Empty tells whether nobody has the seat.
//
// Example:
//
//	solo := charter.Backup.Empty()
func (seat Seat) Empty() bool { return seat.Identity == "" }
