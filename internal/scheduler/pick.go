package scheduler

// cheapest finds the way with the lowest cost: a read, or a run. mayRead says whether the
// call may still be read elsewhere.
func (c *cycle) pickCheapest(mayRead bool) (kind DecisionKind, best candidate, found bool) {
	var near [maxZones]candidate
	var farthest candidate
	places, taken := 0.0, 0.0
	anyRun := false
	c.findHomes()
	for _, b := range c.backends {
		if !b.generates() || !c.eligible(b) {
			continue
		}
		places += c.slots(b)
		taken += min(c.callsAt(b), c.slots(b))
		if offered, may := c.scoreDirect(b); may && (!found || offered.cost < best.cost) {
			kind, best, found = Generate, offered, true
		}
		if !mayRead {
			continue
		}
		if offered, may := c.scoreDecode(b); may {
			if !anyRun || offered.cost < farthest.cost {
				farthest, anyRun = offered, true
			}
			if slot := &near[b.zoneIndex%maxZones]; slot.backend == nil || offered.cost < slot.cost {
				*slot = offered
			}
		}
	}
	if places > 0 {
		c.freeShare = 1 - taken/places
	}
	if !mayRead || !anyRun {
		return kind, best, found
	}
	for _, b := range c.backends {
		if !b.prefills() || !c.eligible(b) {
			continue
		}
		offered, may := c.scorePrefill(b)
		if !may {
			continue
		}
		moveCost, moveTime := c.transferCost(b, farthest.backend)
		cost, time := farthest.cost+moveCost, farthest.latency+moveTime
		if decodeServer := near[b.zoneIndex%maxZones]; decodeServer.backend != nil && decodeServer.backend.zoneIndex == b.zoneIndex {
			moveCost, moveTime = c.transferCost(b, decodeServer.backend)
			if sum := decodeServer.cost + moveCost; sum < cost {
				cost, time = sum, decodeServer.latency+moveTime
			}
		}
		offered.cost += cost
		offered.latency += time
		if !found || offered.cost < best.cost {
			kind, best, found = Prefill, offered, true
		}
	}
	return kind, best, found
}

// runner finds the server that makes the answer from memory that a reader has, or one
// that reads the prompt itself because that is much better.
func (c *cycle) pickDecode(prefillServer *backend) (kind DecisionKind, best candidate, found bool) {
	c.findHomes()
	for _, b := range c.backends {
		if !b.decodesOnly() || !c.eligible(b) {
			continue
		}
		if offered, may := c.scoreDecode(b); may {
			cost, time := c.transferCost(prefillServer, b)
			offered.cost += cost
			offered.latency += time
			offered.ownLatency = offered.latency
			offered.usesKV = true
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
		if offered, may := c.scoreDirect(b); may {
			offered.cost += c.weights.wastedThousand * float64(c.state.call.PromptTokens) / 1000
			if !found || offered.cost < best.cost {
				best, found = offered, true
			}
		}
	}
	return Generate, best, found
}

const maxZones = 16

// find is the best way that may be gone now: a call to a cold server is counted before
// it is sent.
func (c *cycle) pickAdmitted(way func() (DecisionKind, candidate, bool)) (DecisionKind, candidate, bool) {
	for {
		kind, best, found := way()
		if !found || !best.backend.warming(c.now) {
			return kind, best, found
		}
		if rate, _ := c.warmingRate(best.backend); best.backend.rateLimit.take(c.now, rate) {
			return kind, best, found
		}
		c.excludeWarming = true
	}
}

// homes are the servers that rendezvous names for the call's chain, the same at every
// router: two readers, and the runner beside the first of them.
func (c *cycle) findHomes() {
	var prefillServerWeight, nextWeight, farWeight uint64
	var decodeServers [maxZones]*backend
	var weights [maxZones]uint64
	var far *backend
	c.homePrefill, c.nextPrefill, c.homeDecode = nil, nil, nil
	for _, b := range c.backends {
		if !c.eligible(b) {
			continue
		}
		weight := rendezvousWeight(c.chain, b.key)
		if b.prefills() {
			switch {
			case c.homePrefill == nil || weight > prefillServerWeight:
				c.nextPrefill, nextWeight = c.homePrefill, prefillServerWeight
				c.homePrefill, prefillServerWeight = b, weight
			case c.nextPrefill == nil || weight > nextWeight:
				c.nextPrefill, nextWeight = b, weight
			}
			continue
		}
		if far == nil || weight > farWeight {
			far, farWeight = b, weight
		}
		if place := b.zoneIndex % maxZones; decodeServers[place] == nil || weight > weights[place] {
			decodeServers[place], weights[place] = b, weight
		}
	}
	c.homeDecode = far
	if c.homePrefill != nil {
		if near := decodeServers[c.homePrefill.zoneIndex%maxZones]; near != nil {
			c.homeDecode = near
		}
	}
}

// belief is how surely a server keeps the call's shared parts by the home rule.
func (c *cycle) homeLikelihood(b *backend) float64 {
	switch {
	case b == c.homePrefill:
		return c.weights.homePrefill
	case b == c.nextPrefill:
		return c.weights.nextPrefill
	case b == c.homeDecode:
		return c.weights.homeDecode
	}
	return 0
}
