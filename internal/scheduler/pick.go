package scheduler

// maxZones bounds the number of zones that have their own entry in the search for a decode server in
// the zone of a prefill server. With more zones, some zones share an entry.
const maxZones = 16

// pickCheapest finds the dispatch with the lowest cost: a run at a server that reads the prompt
// itself or, if mayPrefill is set, a prefill followed by a run with its KV cache.
func (c *cycle) pickCheapest(mayPrefill bool) (kind DecisionKind, best candidate, found bool) {
	c.findHomes()
	var decode decodeCandidates
	best = c.scoreGenerating(mayPrefill, &decode)
	kind, found = Generate, best.backend != nil
	if !found {
		kind = ""
	}
	if !mayPrefill || decode.anywhere.backend == nil {
		return kind, best, found
	}
	for _, b := range c.backends {
		if !b.prefills() || !c.eligible(b) {
			continue
		}
		scored, ok := c.scorePrefill(b)
		if !ok {
			continue
		}
		cost, latency := c.decodeAfter(b, &decode)
		scored.cost += cost
		scored.latency += latency
		if !found || scored.cost < best.cost {
			kind, best, found = Prefill, scored, true
		}
	}
	return kind, best, found
}

// decodeCandidates are the cheapest runs with the KV cache of a prefill, in each zone and in all
// zones. Their costs don't include the transfer. A candidate without a backend is absent.
type decodeCandidates struct {
	byZone   [maxZones]candidate
	anywhere candidate
}

// scoreGenerating scores the servers that generate answers. It returns the cheapest run without a
// transfer and, if mayPrefill is set, stores the cheapest runs with a transfer in decode. It also
// sets freeShare.
func (c *cycle) scoreGenerating(mayPrefill bool, decode *decodeCandidates) (direct candidate) {
	slots, taken := 0.0, 0.0
	for _, b := range c.backends {
		if !b.generates() || !c.eligible(b) {
			continue
		}
		slots += c.slots(b)
		taken += min(c.callsAt(b), c.slots(b))
		if scored, ok := c.scoreDirect(b); ok {
			direct.keepCheaper(scored)
		}
		if !mayPrefill {
			continue
		}
		if scored, ok := c.scoreDecode(b); ok {
			decode.anywhere.keepCheaper(scored)
			decode.byZone[b.zoneIndex%maxZones].keepCheaper(scored)
		}
	}
	if slots > 0 {
		c.freeShare = 1 - taken/slots
	}
	return direct
}

// keepCheaper replaces the candidate by the other one if the other one is cheaper, or if there is no
// candidate yet. Of two candidates with equal costs the earlier one stays.
func (cd *candidate) keepCheaper(other candidate) {
	if cd.backend == nil || other.cost < cd.cost {
		*cd = other
	}
}

// decodeAfter returns the cost of the run after a server's prefill and the time until the run's first
// event, both including the transfer. It compares the cheapest decode server of all with the cheapest
// decode server in the prefill server's zone.
func (c *cycle) decodeAfter(b *backend, decode *decodeCandidates) (cost, latency float64) {
	transferCost, transferLatency := c.transferCost(b, decode.anywhere.backend)
	cost, latency = decode.anywhere.cost+transferCost, decode.anywhere.latency+transferLatency
	near := decode.byZone[b.zoneIndex%maxZones]
	if near.backend == nil || near.backend.zoneIndex != b.zoneIndex {
		return cost, latency
	}
	transferCost, transferLatency = c.transferCost(b, near.backend)
	if sum := near.cost + transferCost; sum < cost {
		cost, latency = sum, near.latency+transferLatency
	}
	return cost, latency
}

// pickDecode finds the decode server for the run after a prefill. The server gets the prefill's KV
// cache, or reads the prompt itself if that is cheaper although the prefill is then wasted.
func (c *cycle) pickDecode(prefillServer *backend) (kind DecisionKind, best candidate, found bool) {
	c.findHomes()
	for _, b := range c.backends {
		if !b.decodesOnly() || !c.eligible(b) {
			continue
		}
		if scored, ok := c.scoreDecode(b); ok {
			cost, latency := c.transferCost(prefillServer, b)
			scored.cost += cost
			scored.latency += latency
			scored.ownLatency = scored.latency
			scored.usesKV = true
			best.keepCheaper(scored)
		}
		if scored, ok := c.scoreDirect(b); ok {
			scored.cost += c.weights.wastedPerThousand * float64(c.state.call.PromptTokens) / 1000
			best.keepCheaper(scored)
		}
	}
	return Generate, best, best.backend != nil
}

// pickAdmitted calls pick and, if the picked server is warming, takes a token of the server's rate
// limit. Another goroutine may have taken the token since the server was scored; pick is then
// called again with all warming servers excluded.
func (c *cycle) pickAdmitted(pick func() (DecisionKind, candidate, bool)) (DecisionKind, candidate, bool) {
	for {
		kind, best, found := pick()
		if !found || !best.backend.warming(c.now) {
			return kind, best, found
		}
		if rate, _ := c.warmingRate(best.backend); best.backend.rateLimit.take(c.now, rate) {
			return kind, best, found
		}
		c.excludeWarming = true
	}
}

// findHomes finds the home servers of the call's chain by rendezvous hashing, so that all routers
// find the same ones: the two prefill servers with the highest weights, and the decode server with
// the highest weight in the zone of the first prefill server, or in all zones if that zone has no
// decode server.
func (c *cycle) findHomes() {
	var homeWeight, nextWeight, decodeWeight uint64
	var decodeByZone [maxZones]*backend
	var zoneWeights [maxZones]uint64
	c.homePrefill, c.nextPrefill, c.homeDecode = nil, nil, nil
	for _, b := range c.backends {
		if !c.eligible(b) {
			continue
		}
		weight := rendezvousWeight(c.chain, b.key)
		if b.prefills() {
			switch {
			case c.homePrefill == nil || weight > homeWeight:
				c.nextPrefill, nextWeight = c.homePrefill, homeWeight
				c.homePrefill, homeWeight = b, weight
			case c.nextPrefill == nil || weight > nextWeight:
				c.nextPrefill, nextWeight = b, weight
			}
			continue
		}
		if c.homeDecode == nil || weight > decodeWeight {
			c.homeDecode, decodeWeight = b, weight
		}
		if zone := b.zoneIndex % maxZones; decodeByZone[zone] == nil || weight > zoneWeights[zone] {
			decodeByZone[zone], zoneWeights[zone] = b, weight
		}
	}
	if c.homePrefill != nil {
		if near := decodeByZone[c.homePrefill.zoneIndex%maxZones]; near != nil {
			c.homeDecode = near
		}
	}
}

// homeLikelihood returns the likelihood, from 0 to 1, that a server has the call's shared prefix cached
// because it is one of the chain's homes.
func (c *cycle) homeLikelihood(b *backend) float64 {
	switch b {
	case c.homePrefill:
		return c.weights.homePrefill
	case c.nextPrefill:
		return c.weights.nextPrefill
	case c.homeDecode:
		return c.weights.homeDecode
	}
	return 0
}
