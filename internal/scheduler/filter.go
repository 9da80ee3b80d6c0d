package scheduler

// eligible tells whether work of the call may be sent to a server at all, whatever it has to
// do: nothing goes to one that leaves or changes its role, or to an evacuated zone.
func (c *cycle) eligible(b *backend) bool {
	switch {
	case c.state.avoids(b), b.server.Leaving, b.changingRole(), b.roleChangePending(c.now):
		return false
	case c.routes.evacuations[b.server.Zone], !c.state.routeRule.allowsZone(b.server.Zone):
		return false
	}
	return b.hasModel(c.state.call.Model)
}

// hasCapacity tells whether a server may take one more call of so many tokens: its memory
// must hold them, and a warming one takes few calls a second.
func (c *cycle) hasCapacity(b *backend, tokens int) bool {
	if total := c.memoryTotal(b); total > 0 && tokens > total {
		return false
	}
	if b.warming(c.now) {
		rate, takes := c.warmingRate(b)
		if !takes || c.excludeWarming || !b.rateLimit.ready(c.now, rate) {
			c.soonestFree = min(c.soonestFree, 1000/max(rate, 0.5))
			return false
		}
	}
	return true
}

// memoryTotal is how many tokens a server's KV cache holds, by its report or else the
// service's configuration; zero if neither says.
func (c *cycle) memoryTotal(b *backend) int {
	if h := b.lastLoad.Load(); h != nil && h.load.MemoryTotal > 0 {
		return h.load.MemoryTotal
	}
	return c.service.Engine.MemoryTokens
}

// defaultSlots is where neither the list nor the configuration says a server's slots.
const defaultSlots = 16

// slots is how many calls a server runs at once.
func (c *cycle) slots(b *backend) float64 {
	switch {
	case b.server.Slots > 0:
		return float64(b.server.Slots)
	case c.service.Engine.Slots > 0:
		return float64(c.service.Engine.Slots)
	}
	return defaultSlots
}

// callsAt is how many calls a server has: this router's and, as far as known, the others'.
func (c *cycle) callsAt(b *backend) float64 {
	return b.otherCalls() + float64(b.running.Load()+b.prefilling.Load())
}
