package replication

// Identity names one disk. A process that finds its disk blank takes a new identity, so that
// a disk that was lost never counts as one that promised or stored something.
type Identity string

// Replica is a controller in a membership: whose disk, and where it is reached. Zone is set
// only where more than one loss is to be survived.
type Replica struct {
	Identity Identity `msgpack:"identity" json:"identity"`
	Address  string   `msgpack:"address" json:"address"`
	Name     string   `msgpack:"name" json:"name"`
	Zone     string   `msgpack:"district,omitempty" json:"district,omitempty"`
}

// Empty tells whether there is no such replica.
func (r Replica) Empty() bool { return r.Identity == "" }
