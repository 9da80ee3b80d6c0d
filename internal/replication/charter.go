package replication

// Charter is what the epoch keepers keep: who is primary and who is in sync
// with it, and who the keepers are. While a keeper is exchanged, Incoming is
// the next set, and both sets must agree to everything. Further are the backups
// beside the first; they are written only under the flag backup_list.
type Charter struct {
	Epoch    uint64 `msgpack:"epoch" json:"epoch"`
	Primary  Seat   `msgpack:"primary" json:"primary"`
	Backup   Seat   `msgpack:"backup" json:"backup"`
	Further  []Seat `msgpack:"further_backups,omitempty" json:"further_backups,omitempty"`
	Keepers  []Seat `msgpack:"keepers" json:"keepers"`
	Incoming []Seat `msgpack:"incoming,omitempty" json:"incoming,omitempty"`
}

// Blank tells whether there is no charter yet.
//
// Example:
//
//	if keeper.Charter().Blank() { ... }
func (charter Charter) Blank() bool { return charter.Epoch == 0 }

// InSync tells whether the copy of the identity has everything answered.
//
// Example:
//
//	if charter.InSync(identity) { /* it may take over */ }
func (charter Charter) InSync(identity Identity) bool {
	return identity != "" && hasSeat(charter.Copies(), identity)
}

// Backups lists the copies that every write is synced on besides the primary's.
//
// Example:
//
//	for _, backup := range charter.Backups() { replicate(backup) }
func (charter Charter) Backups() []Seat {
	if charter.Backup.Empty() {
		return nil
	}
	return append([]Seat{charter.Backup}, charter.Further...)
}

// Copies lists all copies in sync, the primary's first.
//
// Example:
//
//	several := len(charter.Copies()) > 2
func (charter Charter) Copies() []Seat {
	if charter.Primary.Empty() {
		return nil
	}
	return append([]Seat{charter.Primary}, charter.Backups()...)
}

// With is the charter with other copies.
//
// Example:
//
//	next := charter.With(own, []replication.Seat{first, second})
func (charter Charter) With(primary Seat, backups []Seat) Charter {
	charter.Primary, charter.Backup, charter.Further = primary, Seat{}, nil
	if len(backups) > 0 {
		charter.Backup = backups[0]
	}
	if len(backups) > 1 {
		charter.Further = append([]Seat(nil), backups[1:]...)
	}
	return charter
}

// Electors lists the keepers of both sets, each once.
//
// Example:
//
//	for _, seat := range charter.Electors() { ask(seat) }
func (charter Charter) Electors() []Seat {
	electors := append([]Seat(nil), charter.Keepers...)
	for _, seat := range charter.Incoming {
		if !hasSeat(electors, seat.Identity) {
			electors = append(electors, seat)
		}
	}
	return electors
}

// Keeps tells whether the identity is a keeper of either set.
//
// Example:
//
//	if charter.Keeps(identity) { ... }
func (charter Charter) Keeps(identity Identity) bool {
	return hasSeat(charter.Keepers, identity) || hasSeat(charter.Incoming, identity)
}

// Quorum tells whether those who granted are a majority of each set.
//
// Example:
//
//	won := charter.Quorum(map[replication.Identity]bool{"a": true, "b": true})
func (charter Charter) Quorum(granted map[Identity]bool) bool {
	return majority(charter.Keepers, granted) && (len(charter.Incoming) == 0 || majority(charter.Incoming, granted))
}

func majority(seats []Seat, granted map[Identity]bool) bool {
	count := 0
	for _, seat := range seats {
		if granted[seat.Identity] {
			count++
		}
	}
	return count*2 > len(seats)
}

func hasSeat(seats []Seat, identity Identity) bool {
	for _, seat := range seats {
		if seat.Identity == identity {
			return true
		}
	}
	return false
}
