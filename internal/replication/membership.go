package replication

// Membership is the value on which the witnesses vote: the primary, its backups, and the witnesses.
// In stored data and in messages it is called charter.
//
// FurtherBackups holds the backups after the first; they are written only under the flag
// backup_list. While witnesses are replaced, Incoming holds the next set of witnesses, and every
// vote needs majorities of both sets, as in Raft's joint consensus.
type Membership struct {
	Epoch          uint64    `msgpack:"epoch" json:"epoch"`
	Primary        Replica   `msgpack:"primary" json:"primary"`
	Backup         Replica   `msgpack:"backup" json:"backup"`
	FurtherBackups []Replica `msgpack:"further_backups,omitempty" json:"further_backups,omitempty"`
	Witnesses      []Replica `msgpack:"keepers" json:"keepers"`
	Incoming       []Replica `msgpack:"incoming,omitempty" json:"incoming,omitempty"`
}

// Blank reports whether there is no membership yet.
func (m Membership) Blank() bool { return m.Epoch == 0 }

// InSync reports whether the identity belongs to the primary or a backup. The replicas of the
// primary and of the backups contain every acknowledged change.
func (m Membership) InSync(identity Identity) bool {
	return identity != "" && hasReplica(m.InSyncReplicas(), identity)
}

// Backups returns the replicas besides the primary on which each write is synced.
func (m Membership) Backups() []Replica {
	if m.Backup.Empty() {
		return nil
	}
	return append([]Replica{m.Backup}, m.FurtherBackups...)
}

// InSyncReplicas returns all replicas in sync, the primary first.
func (m Membership) InSyncReplicas() []Replica {
	if m.Primary.Empty() {
		return nil
	}
	return append([]Replica{m.Primary}, m.Backups()...)
}

// InSyncExcept returns the replicas in sync other than the one with the identity: first the backups, then
// the primary.
func (m Membership) InSyncExcept(identity Identity) []Replica {
	if m.Primary.Empty() {
		return nil
	}
	var others []Replica
	for _, replica := range append(m.Backups(), m.Primary) {
		if replica.Identity != identity {
			others = append(others, replica)
		}
	}
	return others
}

// WithReplicas returns the membership with another primary and other backups.
func (m Membership) WithReplicas(primary Replica, backups []Replica) Membership {
	m.Primary, m.Backup, m.FurtherBackups = primary, Replica{}, nil
	if len(backups) > 0 {
		m.Backup = backups[0]
	}
	if len(backups) > 1 {
		m.FurtherBackups = append([]Replica(nil), backups[1:]...)
	}
	return m
}

// Voters returns the witnesses of both sets, each once.
func (m Membership) Voters() []Replica {
	voters := append([]Replica(nil), m.Witnesses...)
	for _, replica := range m.Incoming {
		if !hasReplica(voters, replica.Identity) {
			voters = append(voters, replica)
		}
	}
	return voters
}

// HasVoter reports whether the identity is a witness of either set.
func (m Membership) HasVoter(identity Identity) bool {
	return hasReplica(m.Witnesses, identity) || hasReplica(m.Incoming, identity)
}

// HasQuorum reports whether a majority of each set of witnesses has granted. Two quorums of a
// membership always have a witness in common.
func (m Membership) HasQuorum(granted map[Identity]bool) bool {
	return majority(m.Witnesses, granted) && (len(m.Incoming) == 0 || majority(m.Incoming, granted))
}

// majority reports whether more than half of the witnesses granted.
func majority(witnesses []Replica, granted map[Identity]bool) bool {
	count := 0
	for _, witness := range witnesses {
		if granted[witness.Identity] {
			count++
		}
	}
	return count*2 > len(witnesses)
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
