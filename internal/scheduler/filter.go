package scheduler

// open tells whether work of the call may be sent to a server at all.
func (c *cycle) eligible(b *backend) bool {
	return !c.state.avoids(b) && !b.server.Leaving && !b.changingRole() && !b.roleChangePending(c.now) && !c.routes.evacuations[b.server.Zone] &&
		c.state.routeRule.allowsZone(b.server.Zone) && b.hasModel(c.state.call.Model)
}

// now there are room and leave for one more call at a server: cold ones take few.
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

// memory is how many tokens a server holds; zero if nobody said.
func (c *cycle) memoryTotal(b *backend) int {
	if h := b.lastLoad.Load(); h != nil && h.load.MemoryTotal > 0 {
		return h.load.MemoryTotal
	}
	return c.service.Engine.MemoryTokens
}

func (c *cycle) slots(b *backend) float64 {
	switch {
	case b.server.Slots > 0:
		return float64(b.server.Slots)
	case c.service.Engine.Slots > 0:
		return float64(c.service.Engine.Slots)
	}
	return defaultSlots
}

const defaultSlots = 16

// busy is how many calls a server has.
func (c *cycle) callsAt(b *backend) float64 {
	return b.otherCalls() + float64(b.running.Load()+b.prefilling.Load())
}
