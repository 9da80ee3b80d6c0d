package auction

import "sync/atomic"

// Counters counts a desk's inquiries by how they ended.
type Counters struct {
	Arrived  atomic.Int64
	Complete atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64
}

func (counters *Counters) count(final Final) {
	switch final {
	case Complete:
		counters.Complete.Add(1)
	case Refused:
		counters.Refused.Add(1)
	case Failed:
		counters.Failed.Add(1)
	case Unknown:
		counters.Unknown.Add(1)
	}
}
