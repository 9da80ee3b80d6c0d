package replication

// keeperPlan chooses keepers from those that are, of which some may be gone, and
// from spares that are there.
type keeperPlan struct {
	keepers []plannedKeeper
	spares  []Seat
	wanted  int
}

type plannedKeeper struct {
	seat Seat
	gone bool
}

// next gives the next keepers, or tells that nothing is to be done. Their number
// stays odd.
func (plan *keeperPlan) next() ([]Seat, bool) {
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
			plan.keepers[position] = plannedKeeper{seat: plan.take(spare)}
			changed = true
		}
	}
	for len(plan.keepers)+2 <= plan.wanted && len(plan.spares) >= 2 {
		for range 2 {
			best, _ := plan.bestSpare()
			plan.keepers = append(plan.keepers, plannedKeeper{seat: plan.take(best)})
		}
		changed = true
	}
	// A district may have as many as leave a majority when it goes.
	most := (len(plan.keepers) - 1) / 2
	for position := range plan.keepers {
		seat := plan.keepers[position].seat
		if seat.District == "" || plan.inDistrict(seat.District) <= most {
			continue
		}
		if spare, found := plan.bestSpare(); found && plan.inDistrict(plan.spares[spare].District) < most {
			plan.keepers[position] = plannedKeeper{seat: plan.take(spare)}
			changed = true
		}
	}
	var seats []Seat
	for _, keeper := range plan.keepers {
		seats = append(seats, keeper.seat)
	}
	return seats, changed
}

func (plan *keeperPlan) spareAt(address string) (int, bool) {
	for position, spare := range plan.spares {
		if spare.Address == address {
			return position, true
		}
	}
	return 0, false
}

// bestSpare is the first one of the district with the fewest keepers.
func (plan *keeperPlan) bestSpare() (int, bool) {
	best, found := 0, false
	for position, spare := range plan.spares {
		if !found || plan.inDistrict(spare.District) < plan.inDistrict(plan.spares[best].District) {
			best, found = position, true
		}
	}
	return best, found
}

func (plan *keeperPlan) take(position int) Seat {
	taken := plan.spares[position]
	plan.spares = append(plan.spares[:position:position], plan.spares[position+1:]...)
	return taken
}

// inDistrict counts the keepers of a district that are not gone.
func (plan *keeperPlan) inDistrict(district string) int {
	count := 0
	for _, keeper := range plan.keepers {
		if keeper.seat.District == district && !keeper.gone {
			count++
		}
	}
	return count
}
