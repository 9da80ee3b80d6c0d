package replication

// Membership is the value that the witnesses vote on: who is primary, who is in sync with it, and who
// the witnesses are. While witnesses are replaced, Incoming is the next set, and majorities of both
// sets must agree to everything, as in Raft's joint consensus. Further are the backups beside the
// first; they are written only under the flag backup_list. On wires and disks its name is charter.
type Membership struct {
	Epoch     uint64    `msgpack:"epoch" json:"epoch"`
	Primary   Replica   `msgpack:"primary" json:"primary"`
	Backup    Replica   `msgpack:"backup" json:"backup"`
	Further   []Replica `msgpack:"further_backups,omitempty" json:"further_backups,omitempty"`
	Witnesses []Replica `msgpack:"keepers" json:"keepers"`
	Incoming  []Replica `msgpack:"incoming,omitempty" json:"incoming,omitempty"`
}

// Blank reports whether there is no membership yet.
func (m Membership) Blank() bool { return m.Epoch == 0 }

// InSync reports whether the identity's copy has every acknowledged change.
func (m Membership) InSync(identity Identity) bool {
	return identity != "" && hasReplica(m.InSyncReplicas(), identity)
}

// Backups lists the replicas besides the primary that each write is synced on.
func (m Membership) Backups() []Replica {
	if m.Backup.Empty() {
		return nil
	}
	return append([]Replica{m.Backup}, m.Further...)
}

// InSyncReplicas lists all replicas in sync, the primary first.
func (m Membership) InSyncReplicas() []Replica {
	if m.Primary.Empty() {
		return nil
	}
	return append([]Replica{m.Primary}, m.Backups()...)
}

// WithReplicas returns the membership with another primary and other backups.
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

// Voters lists the witnesses of both sets, each once.
func (m Membership) Voters() []Replica {
	electors := append([]Replica(nil), m.Witnesses...)
	for _, replica := range m.Incoming {
		if !hasReplica(electors, replica.Identity) {
			electors = append(electors, replica)
		}
	}
	return electors
}

// HasVoter reports whether the identity is a witness of either set.
func (m Membership) HasVoter(identity Identity) bool {
	return hasReplica(m.Witnesses, identity) || hasReplica(m.Incoming, identity)
}

// HasQuorum reports whether those that granted are a majority of each set. Two quorums of a
// membership always have a witness in common.
func (m Membership) HasQuorum(granted map[Identity]bool) bool {
	return majority(m.Witnesses, granted) && (len(m.Incoming) == 0 || majority(m.Incoming, granted))
}

// majority reports whether more than half of the replicas granted.
func majority(replicas []Replica, granted map[Identity]bool) bool {
	count := 0
	for _, replica := range replicas {
		if granted[replica.Identity] {
			count++
		}
	}
	return count*2 > len(replicas)
}

// hasReplica reports whether the identity is among the replicas.
func hasReplica(replicas []Replica, identity Identity) bool {
	for _, replica := range replicas {
		if replica.Identity == identity {
			return true
		}
	}
	return false
}
