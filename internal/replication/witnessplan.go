package replication

// witnessPlan selects the next witnesses from the present ones, some of which may be gone, and from
// spares: controllers that respond and are not witnesses.
type witnessPlan struct {
	witnesses []plannedWitness
	spares    []Replica
	wanted    int
}

// plannedWitness is a present or selected witness; gone marks a witness to be replaced.
type plannedWitness struct {
	replica Replica
	gone    bool
}

// next returns the next witnesses, and whether they differ from the present ones. Witnesses are added
// in pairs, so that their number stays odd.
func (w *witnessPlan) next() ([]Replica, bool) {
	changed := false
	for i := range w.witnesses {
		if !w.witnesses[i].gone {
			continue
		}
		// A controller that returned with a blank disk takes its old place.
		spare, found := w.spareAt(w.witnesses[i].replica.Address)
		if !found {
			spare, found = w.bestSpare()
		}
		if found {
			w.witnesses[i] = plannedWitness{replica: w.takeSpare(spare)}
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
	// The loss of a zone with at most this many witnesses leaves a majority.
	maxPerZone := (len(w.witnesses) - 1) / 2
	for i := range w.witnesses {
		replica := w.witnesses[i].replica
		if replica.Zone == "" || w.inZone(replica.Zone) <= maxPerZone {
			continue
		}
		if spare, found := w.bestSpare(); found && w.inZone(w.spares[spare].Zone) < maxPerZone {
			w.witnesses[i] = plannedWitness{replica: w.takeSpare(spare)}
			changed = true
		}
	}
	var replicas []Replica
	for _, witness := range w.witnesses {
		replicas = append(replicas, witness.replica)
	}
	return replicas, changed
}

// spareAt returns the index of the spare at an address.
func (w *witnessPlan) spareAt(address string) (int, bool) {
	for i, spare := range w.spares {
		if spare.Address == address {
			return i, true
		}
	}
	return 0, false
}

// bestSpare returns the index of the first spare whose zone has the fewest witnesses.
func (w *witnessPlan) bestSpare() (int, bool) {
	best, found := 0, false
	for i, spare := range w.spares {
		if !found || w.inZone(spare.Zone) < w.inZone(w.spares[best].Zone) {
			best, found = i, true
		}
	}
	return best, found
}

// takeSpare removes a spare and returns it.
func (w *witnessPlan) takeSpare(i int) Replica {
	taken := w.spares[i]
	w.spares = append(w.spares[:i:i], w.spares[i+1:]...)
	return taken
}

// inZone returns the number of witnesses in a zone that are not gone.
func (w *witnessPlan) inZone(zone string) int {
	count := 0
	for _, witness := range w.witnesses {
		if witness.replica.Zone == zone && !witness.gone {
			count++
		}
	}
	return count
}
