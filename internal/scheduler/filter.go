package scheduler

// eligible reports whether the call may be sent to a server at all, regardless of the server's
// load. A server is not eligible if it has failed the call, is leaving, is changing its role or has
// been ordered to, lacks the model, or is in a zone that is evacuated or not allowed by the route.
func (c *cycle) eligible(b *backend) bool {
	switch {
	case c.state.avoids(b), b.server.Leaving, b.changingRole(), b.roleChangePending(c.now):
		return false
	case c.routes.evacuations[b.server.Zone], !c.state.routeRule.allowsZone(b.server.Zone):
		return false
	}
	return b.hasModel(c.state.call.Model)
}

// hasCapacity reports whether a server can take one more call of the given number of tokens: its
// KV cache memory must be large enough, and a warming server's rate limit must allow the call. If the
// cycle excludes the server because it is warming, warmingWait is updated.
func (c *cycle) hasCapacity(b *backend, tokens int) bool {
	if total := c.memoryTotal(b); total > 0 && tokens > total {
		return false
	}
	if b.warming(c.now) {
		rate, sends := c.warmingRate(b)
		if !sends || c.excludeWarming || !b.rateLimit.ready(c.now, rate) {
			c.warmingWait = min(c.warmingWait, 1000/max(rate, 0.5))
			return false
		}
	}
	return true
}

// memoryTotal returns how many tokens a server's KV cache memory holds, as stated by its load report
// or else by the service's configuration; zero if neither states it.
func (c *cycle) memoryTotal(b *backend) int {
	if known := b.lastLoad.Load(); known != nil && known.load.MemoryTotal > 0 {
		return known.load.MemoryTotal
	}
	return c.service.Engine.MemoryTokens
}

// defaultSlots is used if neither the server list nor the configuration states a server's slots.
const defaultSlots = 16

// slots returns how many calls a server can run at once.
func (c *cycle) slots(b *backend) float64 {
	switch {
	case b.server.Slots > 0:
		return float64(b.server.Slots)
	case c.service.Engine.Slots > 0:
		return float64(c.service.Engine.Slots)
	}
	return defaultSlots
}

// callsAt estimates how many calls a server has: this router's calls, and the calls of other routers
// that load reports show.
func (c *cycle) callsAt(b *backend) float64 {
	return b.otherCalls() + float64(b.running.Load()+b.prefilling.Load())
}
