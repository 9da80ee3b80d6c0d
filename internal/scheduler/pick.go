package scheduler

// maxZones bounds the zones that are told apart when a decode server near a prefill server
// is looked for; further ones share an index.
const maxZones = 16

// pickCheapest finds the dispatch with the lowest cost: a run at a server that reads the
// prompt itself, or, if mayPrefill, a prefill followed by a run with its KV cache.
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
		offered, may := c.scorePrefill(b)
		if !may {
			continue
		}
		cost, latency := c.decodeAfter(b, &decode)
		offered.cost += cost
		offered.latency += latency
		if !found || offered.cost < best.cost {
			kind, best, found = Prefill, offered, true
		}
	}
	return kind, best, found
}

// decodeCandidates are the cheapest runs with the KV cache of a prefill, without the
// transfer: in each zone and anywhere. One without a backend is none.
type decodeCandidates struct {
	byZone   [maxZones]candidate
	anywhere candidate
}

// scoreGenerating scores the servers that make answers: it gives the cheapest run without a
// transfer and, if mayPrefill, fills in those with one. It also measures freeShare.
func (c *cycle) scoreGenerating(mayPrefill bool, decode *decodeCandidates) (direct candidate) {
	slots, taken := 0.0, 0.0
	for _, b := range c.backends {
		if !b.generates() || !c.eligible(b) {
			continue
		}
		slots += c.slots(b)
		taken += min(c.callsAt(b), c.slots(b))
		if offered, may := c.scoreDirect(b); may {
			direct.keepCheaper(offered)
		}
		if !mayPrefill {
			continue
		}
		if offered, may := c.scoreDecode(b); may {
			decode.anywhere.keepCheaper(offered)
			decode.byZone[b.zoneIndex%maxZones].keepCheaper(offered)
		}
	}
	if slots > 0 {
		c.freeShare = 1 - taken/slots
	}
	return direct
}

// keepCheaper replaces the candidate by a cheaper one, or by the first; of equal ones the
// earlier stays.
func (cd *candidate) keepCheaper(other candidate) {
	if cd.backend == nil || other.cost < cd.cost {
		*cd = other
	}
}

// decodeAfter is what the run after a server's prefill costs and how long it takes to its
// first event, transfer included: on the cheapest server, or on the cheapest of the zone.
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

// pickDecode finds the server that makes the answer from the KV cache of a prefill, or one
// that reads the prompt itself where that is much better.
func (c *cycle) pickDecode(prefillServer *backend) (kind DecisionKind, best candidate, found bool) {
	c.findHomes()
	for _, b := range c.backends {
		if !b.decodesOnly() || !c.eligible(b) {
			continue
		}
		if offered, may := c.scoreDecode(b); may {
			cost, latency := c.transferCost(prefillServer, b)
			offered.cost += cost
			offered.latency += latency
			offered.ownLatency = offered.latency
			offered.usesKV = true
			best.keepCheaper(offered)
		}
		if offered, may := c.scoreDirect(b); may {
			offered.cost += c.weights.wastedThousand * float64(c.state.call.PromptTokens) / 1000
			best.keepCheaper(offered)
		}
	}
	return Generate, best, best.backend != nil
}

// pickAdmitted repeats a pick until the picked server's rate limit lets the call through: a
// call to a warming server is counted before it is sent, and another thread may be first.
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

// findHomes finds the home servers of the call's chain by rendezvous hashing, the same at
// every router: the two prefill servers of most weight, and the decode server of most
// weight in the zone of the first of them, or of all zones if that one has none.
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

// homeLikelihood is how surely, from 0 to 1, a server has the call's shared prefix cached
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
