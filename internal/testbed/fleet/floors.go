package fleet

// usualFloor is the share of complete replies that a day with one fault keeps at
// least. Of the days in docs/measurements.md most kept more than 0.95, beside two
// other fleets.
const usualFloor = 0.85

// lowerFloors are those of faults that cost more, about a tenth below what was
// seen: nobody holds while the core is cut off, evacuated servers answer nothing,
// and links and nodes that are bad for most of the day spoil what goes over them.
var lowerFloors = map[string]float64{
	"cut-core": 0.55, "evacuate-all": 0.45, "cold-start": 0.72, "bad-links": 0.75, "bad-server-links": 0.75, "one-way": 0.75,
	"isolate-courier": 0.75, "freeze-primary": 0.75, "freeze-courier": 0.78, "lapse-handles": 0.78, "kill-during-repair": 0.78,
}

// FloorOf is the share of complete replies that a day with this fault alone keeps
// at least.
func FloorOf(fault string) float64 {
	if floor, found := lowerFloors[fault]; found {
		return floor
	}
	return usualFloor
}
