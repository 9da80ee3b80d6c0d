package auction

import "sync/atomic"

// Counters counts a desk's requests by how they ended.
type Counters struct {
	Arrived  atomic.Int64
	Complete atomic.Int64
	Refused  atomic.Int64
	Failed   atomic.Int64
	Unknown  atomic.Int64
}

func (c *Counters) count(final FinalStatus) {
	switch final {
	case Complete:
		c.Complete.Add(1)
	case Refused:
		c.Refused.Add(1)
	case Failed:
		c.Failed.Add(1)
	case Unknown:
		c.Unknown.Add(1)
	}
}
