package replication

// Identity names one disk. A process that finds its disk blank takes a new one.
type Identity string

// Replica is a controller in a membership: whose disk, and where it is reached. The
// zone is told only where more than one loss is to be borne.
type Replica struct {
	Identity Identity `msgpack:"identity" json:"identity"`
	Address  string   `msgpack:"address" json:"address"`
	Name     string   `msgpack:"name" json:"name"`
	Zone     string   `msgpack:"district,omitempty" json:"district,omitempty"`
}

// Empty tells whether nobody has the seat.
func (r Replica) Empty() bool { return r.Identity == "" }
