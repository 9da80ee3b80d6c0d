package replication

// Membership is what the witnesss keep: who is primary and who is in sync
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

// Blank tells whether there is no membership yet.
func (m Membership) Blank() bool { return m.Epoch == 0 }

// InSync tells whether the copy of the identity has everything answered.
func (m Membership) InSync(identity Identity) bool {
	return identity != "" && hasReplica(m.InSyncReplicas(), identity)
}

// Backups lists the copies that every write is synced on besides the primary's.
func (m Membership) Backups() []Replica {
	if m.Backup.Empty() {
		return nil
	}
	return append([]Replica{m.Backup}, m.Further...)
}

// InSyncReplicas lists all copies in sync, the primary's first.
func (m Membership) InSyncReplicas() []Replica {
	if m.Primary.Empty() {
		return nil
	}
	return append([]Replica{m.Primary}, m.Backups()...)
}

// WithReplicas is the membership with other copies.
func (m Membership) WithReplicas(primary Replica, backups []Replica) Membership {
	m.Primary, m.Backup, m.Further = primary, Replica{}, nil
	if len(backups) > 0 {
		m.Backup = backups[0]
	}
	if len(backups) > 1 {
		m.Further = append([]Replica(nil), backups[1:]...)
	}
	return m
}

// Voters lists the keepers of both sets, each once.
func (m Membership) Voters() []Replica {
	electors := append([]Replica(nil), m.Witnesses...)
	for _, replica := range m.Incoming {
		if !hasReplica(electors, replica.Identity) {
			electors = append(electors, replica)
		}
	}
	return electors
}

// HasVoter tells whether the identity is a keeper of either set.
func (m Membership) HasVoter(identity Identity) bool {
	return hasReplica(m.Witnesses, identity) || hasReplica(m.Incoming, identity)
}

// HasQuorum tells whether those who granted are a majority of each set.
func (m Membership) HasQuorum(granted map[Identity]bool) bool {
	return majority(m.Witnesses, granted) && (len(m.Incoming) == 0 || majority(m.Incoming, granted))
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
