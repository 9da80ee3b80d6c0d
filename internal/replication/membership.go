package replication

// Membership is what the epoch keepers keep: who is primary and who is in sync
// with it, and who the keepers are. While a keeper is exchanged, Incoming is
// the next set, and both sets must agree to everything. Further are the backups
// beside the first; they are written only under the flag backup_list.
type Membership struct {
	Epoch     uint64    `msgpack:"epoch" json:"epoch"`
	Primary   Replica   `msgpack:"primary" json:"primary"`
	Backup    Replica   `msgpack:"backup" json:"backup"`
	Further   []Replica `msgpack:"further_backups,omitempty" json:"further_backups,omitempty"`
	Witnesses []Replica `msgpack:"keepers" json:"keepers"`
	Incoming  []Replica `msgpack:"incoming,omitempty" json:"incoming,omitempty"`
}

// Blank tells whether there is no charter yet.
func (membership Membership) Blank() bool { return membership.Epoch == 0 }

// InSync tells whether the copy of the identity has everything answered.
func (membership Membership) InSync(identity Identity) bool {
	return identity != "" && hasReplica(membership.Copies(), identity)
}

// Backups lists the copies that every write is synced on besides the primary's.
func (membership Membership) Backups() []Replica {
	if membership.Backup.Empty() {
		return nil
	}
	return append([]Replica{membership.Backup}, membership.Further...)
}

// Copies lists all copies in sync, the primary's first.
func (membership Membership) Copies() []Replica {
	if membership.Primary.Empty() {
		return nil
	}
	return append([]Replica{membership.Primary}, membership.Backups()...)
}

// With is the charter with other copies.
func (membership Membership) With(primary Replica, backups []Replica) Membership {
	membership.Primary, membership.Backup, membership.Further = primary, Replica{}, nil
	if len(backups) > 0 {
		membership.Backup = backups[0]
	}
	if len(backups) > 1 {
		membership.Further = append([]Replica(nil), backups[1:]...)
	}
	return membership
}

// Electors lists the keepers of both sets, each once.
func (membership Membership) Electors() []Replica {
	electors := append([]Replica(nil), membership.Witnesses...)
	for _, replica := range membership.Incoming {
		if !hasReplica(electors, replica.Identity) {
			electors = append(electors, replica)
		}
	}
	return electors
}

// Keeps tells whether the identity is a keeper of either set.
func (membership Membership) Keeps(identity Identity) bool {
	return hasReplica(membership.Witnesses, identity) || hasReplica(membership.Incoming, identity)
}

// Quorum tells whether those who granted are a majority of each set.
func (membership Membership) Quorum(granted map[Identity]bool) bool {
	return majority(membership.Witnesses, granted) && (len(membership.Incoming) == 0 || majority(membership.Incoming, granted))
}

func majority(replicas []Replica, granted map[Identity]bool) bool {
	count := 0
	for _, replica := range replicas {
		if granted[replica.Identity] {
			count++
		}
	}
	return count*2 > len(replicas)
}

func hasReplica(replicas []Replica, identity Identity) bool {
	for _, replica := range replicas {
		if replica.Identity == identity {
			return true
		}
	}
	return false
}
