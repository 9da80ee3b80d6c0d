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
func (w *witnessPlan) next() ([]Replica, bool) {
	changed := false
	for position := range w.keepers {
		if !w.keepers[position].gone {
			continue
		}
		// One that has come back blank has its old place.
		spare, found := w.spareAt(w.keepers[position].seat.Address)
		if !found {
			spare, found = w.bestSpare()
		}
		if found {
			w.keepers[position] = plannedWitness{seat: w.take(spare)}
			changed = true
		}
	}
	for len(w.keepers)+2 <= w.wanted && len(w.spares) >= 2 {
		for range 2 {
			best, _ := w.bestSpare()
			w.keepers = append(w.keepers, plannedWitness{seat: w.take(best)})
		}
		changed = true
	}
	// A zone may have as many as leave a majority when it goes.
	most := (len(w.keepers) - 1) / 2
	for position := range w.keepers {
		replica := w.keepers[position].seat
		if replica.Zone == "" || w.inZone(replica.Zone) <= most {
			continue
		}
		if spare, found := w.bestSpare(); found && w.inZone(w.spares[spare].Zone) < most {
			w.keepers[position] = plannedWitness{seat: w.take(spare)}
			changed = true
		}
	}
	var replicas []Replica
	for _, witness := range w.keepers {
		replicas = append(replicas, witness.seat)
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

func (w *witnessPlan) take(position int) Replica {
	taken := w.spares[position]
	w.spares = append(w.spares[:position:position], w.spares[position+1:]...)
	return taken
}

// inZone counts the keepers of a zone that are not gone.
func (w *witnessPlan) inZone(zone string) int {
	count := 0
	for _, witness := range w.keepers {
		if witness.seat.Zone == zone && !witness.gone {
			count++
		}
	}
	return count
}
