package auction

import "sync/atomic"

// Tallies counts a desk's inquiries by how they ended.
type Tallies struct {
	Arrived  atomic.Int64
	Complete atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64
}

func (tallies *Tallies) count(final Final) {
	switch final {
	case Complete:
		tallies.Complete.Add(1)
	case Refused:
		tallies.Refused.Add(1)
	case Failed:
		tallies.Failed.Add(1)
	case Unknown:
		tallies.Unknown.Add(1)
	}
}
