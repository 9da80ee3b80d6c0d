package replication

// witnessPlan chooses keepers from those that are, of which some may be gone, and
// from spares that are there.
type witnessPlan struct {
	keepers []plannedWitness
	spares  []Replica
	wanted  int
}

type plannedWitness struct {
	seat Replica
	gone bool
}

// next gives the next keepers, or tells that nothing is to be done. Their number
// stays odd.
func (plan *witnessPlan) next() ([]Replica, bool) {
	changed := false
	for position := range plan.keepers {
		if !plan.keepers[position].gone {
			continue
		}
		// One that has come back blank has its old place.
		spare, found := plan.spareAt(plan.keepers[position].seat.Address)
		if !found {
			spare, found = plan.bestSpare()
		}
		if found {
			plan.keepers[position] = plannedWitness{seat: plan.take(spare)}
			changed = true
		}
	}
	for len(plan.keepers)+2 <= plan.wanted && len(plan.spares) >= 2 {
		for range 2 {
			best, _ := plan.bestSpare()
			plan.keepers = append(plan.keepers, plannedWitness{seat: plan.take(best)})
		}
		changed = true
	}
	// A district may have as many as leave a majority when it goes.
	most := (len(plan.keepers) - 1) / 2
	for position := range plan.keepers {
		replica := plan.keepers[position].seat
		if replica.Zone == "" || plan.inZone(replica.Zone) <= most {
			continue
		}
		if spare, found := plan.bestSpare(); found && plan.inZone(plan.spares[spare].Zone) < most {
			plan.keepers[position] = plannedWitness{seat: plan.take(spare)}
			changed = true
		}
	}
	var replicas []Replica
	for _, witness := range plan.keepers {
		replicas = append(replicas, witness.seat)
	}
	return replicas, changed
}

func (plan *witnessPlan) spareAt(address string) (int, bool) {
	for position, spare := range plan.spares {
		if spare.Address == address {
			return position, true
		}
	}
	return 0, false
}

// bestSpare is the first one of the district with the fewest keepers.
func (plan *witnessPlan) bestSpare() (int, bool) {
	best, found := 0, false
	for position, spare := range plan.spares {
		if !found || plan.inZone(spare.Zone) < plan.inZone(plan.spares[best].Zone) {
			best, found = position, true
		}
	}
	return best, found
}

func (plan *witnessPlan) take(position int) Replica {
	taken := plan.spares[position]
	plan.spares = append(plan.spares[:position:position], plan.spares[position+1:]...)
	return taken
}

// inZone counts the keepers of a district that are not gone.
func (plan *witnessPlan) inZone(zone string) int {
	count := 0
	for _, witness := range plan.keepers {
		if witness.seat.Zone == zone && !witness.gone {
			count++
		}
	}
	return count
}
