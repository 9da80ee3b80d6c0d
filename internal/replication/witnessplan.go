package replication

// witnessPlan chooses keepers from those that are, of which some may be gone, and
// from spares that are there.
type witnessPlan struct {
	witnesses []plannedWitness
	spares    []Replica
	wanted    int
}

type plannedWitness struct {
	replica Replica
	gone    bool
}

// next gives the next keepers, or tells that nothing is to be done. Their number
// stays odd.
func (w *witnessPlan) next() ([]Replica, bool) {
	changed := false
	for position := range w.witnesses {
		if !w.witnesses[position].gone {
			continue
		}
		// One that has come back blank has its old place.
		spare, found := w.spareAt(w.witnesses[position].replica.Address)
		if !found {
			spare, found = w.bestSpare()
		}
		if found {
			w.witnesses[position] = plannedWitness{replica: w.takeSpare(spare)}
			changed = true
		}
	}
	for len(w.witnesses)+2 <= w.wanted && len(w.spares) >= 2 {
		for range 2 {
			best, _ := w.bestSpare()
			w.witnesses = append(w.witnesses, plannedWitness{replica: w.takeSpare(best)})
		}
		changed = true
	}
	// A zone may have as many as leave a majority when it goes.
	most := (len(w.witnesses) - 1) / 2
	for position := range w.witnesses {
		replica := w.witnesses[position].replica
		if replica.Zone == "" || w.inZone(replica.Zone) <= most {
			continue
		}
		if spare, found := w.bestSpare(); found && w.inZone(w.spares[spare].Zone) < most {
			w.witnesses[position] = plannedWitness{replica: w.takeSpare(spare)}
			changed = true
		}
	}
	var replicas []Replica
	for _, witness := range w.witnesses {
		replicas = append(replicas, witness.replica)
	}
	return replicas, changed
}

func (w *witnessPlan) spareAt(address string) (int, bool) {
	for position, spare := range w.spares {
		if spare.Address == address {
			return position, true
		}
	}
	return 0, false
}

// bestSpare is the first one of the zone with the fewest keepers.
func (w *witnessPlan) bestSpare() (int, bool) {
	best, found := 0, false
	for position, spare := range w.spares {
		if !found || w.inZone(spare.Zone) < w.inZone(w.spares[best].Zone) {
			best, found = position, true
		}
	}
	return best, found
}

func (w *witnessPlan) takeSpare(position int) Replica {
	taken := w.spares[position]
	w.spares = append(w.spares[:position:position], w.spares[position+1:]...)
	return taken
}

// inZone counts the keepers of a zone that are not gone.
func (w *witnessPlan) inZone(zone string) int {
	count := 0
	for _, witness := range w.witnesses {
		if witness.replica.Zone == zone && !witness.gone {
			count++
		}
	}
	return count
}
