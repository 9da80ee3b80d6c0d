package replication

// Identity identifies one disk. A process that finds its disk blank takes a new identity, so that a
// lost disk never counts as one that has promised or stored something.
type Identity string

// Replica identifies a controller that has a disk, by the identity of the disk and by the controller's
// address and name. The controller may be the primary, a backup, a witness, or a candidate for one of
// these roles. Only the primary and the backups must have a copy of the state on the disk. Zone is set
// only where more than one loss is tolerated.
type Replica struct {
	Identity Identity `msgpack:"identity" json:"identity"`
	Address  string   `msgpack:"address" json:"address"`
	Name     string   `msgpack:"name" json:"name"`
	Zone     string   `msgpack:"district,omitempty" json:"district,omitempty"`
}

// Empty reports whether r is the zero value, which means that there is no replica.
func (r Replica) Empty() bool { return r.Identity == "" }
