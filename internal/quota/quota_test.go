package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// wantsOf returns one want, all of whose tokens are needed by waiting calls.
func wantsOf(spent, target uint64, limit Limit) []Want {
	return []Want{{Subject: "a", Limit: limit, Spent: spent, Target: target, Need: target}}
}

// TestLedgerGrantsAccruedTokens checks that a new ledger starts with an empty bucket and then grants the tokens that
// have accrued, up to the capacity.
func TestLedgerGrantsAccruedTokens(t *testing.T) {
	limit := Limit{PerSecond: 10, Capacity: 5}
	ledger := NewLedger(noon)
	for i, step := range []struct {
		after   time.Duration
		spent   uint64
		target  uint64
		granted uint64
	}{
		{200 * time.Millisecond, 0, 4, 2},
		{300 * time.Millisecond, 2, 3, 3},
		// The bucket fills up to four tokens only, because one granted token was not reported as spent.
		{10 * time.Second, 3, 9, 7},
		{10 * time.Second, 3, 9, 7},
		{10*time.Second + 100*time.Millisecond, 7, 9, 8},
		{10*time.Second + 200*time.Millisecond, 8, 9, 9},
		// A lower target returns the token to the bucket, and a higher one is granted the token again.
		{10*time.Second + 200*time.Millisecond, 8, 0, 8},
		{10*time.Second + 200*time.Millisecond, 8, 1, 9},
	} {
		now := noon.Add(step.after)
		response := ledger.Apply(now, Request{Router: "r", Sequence: uint64(i + 1), Wants: wantsOf(step.spent, step.target, limit)})
		if len(response.Grants) != 1 || response.Grants[0].Granted != step.granted {
			t.Errorf("step %+v: got response %+v, want one grant of %d", step, response, step.granted)
		}
	}
}

// TestOldRequestsGetNoGrants checks that a request gets no grants if the member has already received the same or a later
// request of the router.
func TestOldRequestsGetNoGrants(t *testing.T) {
	limit := Limit{PerSecond: 10, Capacity: 5}
	ledger := NewLedger(noon)
	now := noon.Add(time.Second)
	if response := ledger.Apply(now, Request{Router: "r", Sequence: 2, Wants: wantsOf(0, 2, limit)}); response.Grants[0].Granted != 2 {
		t.Errorf("got response %+v, want a grant of 2", response)
	}
	for _, sequence := range []uint64{1, 2} {
		if response := ledger.Apply(now, Request{Router: "r", Sequence: sequence, Wants: wantsOf(0, 5, limit)}); len(response.Grants) != 0 {
			t.Errorf("request %d: got response %+v, want no grants", sequence, response)
		}
	}
}

// tokenSimulation simulates a group of members and several routers. Messages are lost, delayed and duplicated at
// random. Runs with the same seed may differ, because some loops iterate over maps.
type tokenSimulation struct {
	random  *rand.Rand
	now     time.Time
	members []Member
	ledgers map[Member]*Ledger
	routers []*Allowances
	// spent holds the time at which each token was spent, and denied counts the calls that got no token.
	spent   []time.Time
	denied  int
	pending []delivery
	// lossRate is the fraction of messages that are lost, and extraDelay is added to the random delay of every message.
	lossRate   float64
	extraDelay time.Duration
	// noLongDelays disables the occasional message delays of up to 900 ms.
	noLongDelays bool
}

// delivery is a message in transit.
type delivery struct {
	at  time.Time
	run func()
}

func newTokenSimulation(seed uint64, members, routers int) *tokenSimulation {
	s := &tokenSimulation{random: rand.New(rand.NewPCG(seed, 7)), now: noon, ledgers: map[Member]*Ledger{}}
	for i := range members {
		member := Member(fmt.Sprint("m", i))
		s.members = append(s.members, member)
		s.ledgers[member] = NewLedger(noon)
	}
	for i := range routers {
		s.routers = append(s.routers, NewAllowances(fmt.Sprint("r", i)))
	}
	return s
}

func (s *tokenSimulation) group() Group { return NewGroup(s.members) }

// send schedules the delivery of a message after a random delay, or loses the message.
func (s *tokenSimulation) send(run func()) {
	if s.random.Float64() < s.lossRate {
		return
	}
	delay := s.extraDelay + time.Duration(1+s.random.IntN(6))*time.Millisecond
	if s.random.IntN(40) == 0 && !s.noLongDelays {
		delay += time.Duration(s.random.IntN(900)) * time.Millisecond
	}
	s.pending = append(s.pending, delivery{s.now.Add(delay), run})
}

// deliver delivers all messages that are due.
func (s *tokenSimulation) deliver() {
	due := s.pending
	s.pending = nil
	for _, d := range due {
		if d.at.After(s.now) {
			s.pending = append(s.pending, d)
			continue
		}
		d.run()
	}
}

// sendRequests sends the requests of a router that are due, some of them twice.
func (s *tokenSimulation) sendRequests(a *Allowances) {
	if !a.Due(s.now, s.group()) {
		return
	}
	sentAt := s.now
	for member, request := range a.Requests(s.now, s.group()) {
		copies := 1
		if s.random.IntN(30) == 0 {
			copies = 2
		}
		for range copies {
			s.send(func() {
				response := s.ledgers[member].Apply(s.now, request)
				s.send(func() { a.HandleResponse(s.now, s.group(), member, sentAt, request, response) })
			})
		}
	}
}

// openClaim is the claim of a call that waits for a token until its deadline.
type openClaim struct {
	claim    *Claim
	deadline time.Time
}

// run simulates calls that arrive at random routers at the given rate for a length of time. If restarts is set, members
// and routers restart at random.
func (s *tokenSimulation) run(length time.Duration, perSecond float64, limit Limit, restarts bool) {
	open := map[*Claim]openClaim{}
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.deliver()
		for s.random.Float64() < perSecond/1000 {
			router := s.routers[s.random.IntN(len(s.routers))]
			claim := router.Claim(s.now, "a", limit)
			open[claim] = openClaim{claim, s.now.Add(200 * time.Millisecond)}
			break
		}
		for key, c := range open {
			switch result := c.claim.Poll(s.now, s.group()); {
			case result == Taken:
				s.spent = append(s.spent, s.now)
				delete(open, key)
			case result == Denied:
				s.denied++
				delete(open, key)
			case s.now.After(c.deadline):
				c.claim.Cancel()
				s.denied++
				delete(open, key)
			}
		}
		for _, router := range s.routers {
			s.sendRequests(router)
		}
		if restarts && s.random.IntN(1500) == 0 {
			s.ledgers[s.members[s.random.IntN(len(s.members))]] = NewLedger(s.now)
		}
		if restarts && s.random.IntN(2500) == 0 {
			i := s.random.IntN(len(s.routers))
			for key, c := range open {
				if c.claim.allowances == s.routers[i] {
					delete(open, key)
				}
			}
			s.routers[i] = NewAllowances(fmt.Sprint("r", i, "-", s.now.UnixNano()))
		}
	}
}

// maxSpentWithin returns the maximum number of tokens that were spent in any span of the given length.
func (s *tokenSimulation) maxSpentWithin(length time.Duration) int {
	most, first := 0, 0
	for i, at := range s.spent {
		for at.Sub(s.spent[first]) > length {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRoutersTogetherKeepTheLimit guards against limits that hold only per router: if each router counted only its
// own calls, a tenant could exceed its limit by a factor equal to the number of routers. Members and routers restart,
// and messages are lost, delayed and duplicated; in no span of time may more tokens be spent than the limit allows.
func TestRoutersTogetherKeepTheLimit(t *testing.T) {
	for seed := range uint64(20) {
		limit := Limit{PerSecond: float64(3 + seed*3), Capacity: float64(5 + seed*2)}
		s := newTokenSimulation(seed, []int{3, 5}[seed%2], 6)
		s.lossRate = []float64{0, 0.05, 0.2}[seed%3]
		s.run(15*time.Second, 8*limit.PerSecond, limit, seed%4 > 0)
		for _, span := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
			bound := limit.PerSecond*span.Seconds() + limit.Capacity
			if spent := s.maxSpentWithin(span); float64(spent) > bound+1e-6 {
				t.Errorf("seed %d: %d tokens spent in %v, want at most %.1f", seed, spent, span, bound)
			}
		}
		if minimum := limit.PerSecond * 15 * 0.5; float64(len(s.spent)) < minimum {
			t.Errorf("seed %d: %d of %.0f tokens spent, want at least half", seed, len(s.spent), limit.PerSecond*15)
		}
	}
}

// TestFewCallsAreDeniedBelowTheLimit checks that without long message delays fewer than one call in a thousand is denied
// to a tenant at 60 percent of its limit.
func TestFewCallsAreDeniedBelowTheLimit(t *testing.T) {
	for seed := range uint64(10) {
		s := simulateBelowTheLimit(seed, true)
		if s.denied*1000 > len(s.spent) {
			t.Errorf("seed %d: %d calls denied and %d served, want at most 1 denied per 1000 served", seed, s.denied, len(s.spent))
		}
	}
}

// TestFewCallsAreDeniedBelowTheLimitDespiteLongDelays checks that fewer than one call in a hundred, summed over all seeds,
// is denied to a tenant at 60 percent of its limit while one message in forty is delayed by up to 0.9 s. A call
// waits for a token for at most 0.2 s.
func TestFewCallsAreDeniedBelowTheLimitDespiteLongDelays(t *testing.T) {
	denied, served := 0, 0
	for seed := range uint64(10) {
		s := simulateBelowTheLimit(seed, false)
		denied, served = denied+s.denied, served+len(s.spent)
	}
	if denied*100 > served {
		t.Errorf("%d calls denied and %d served, want at most 1 denied per 100 served", denied, served)
	}
}

// simulateBelowTheLimit simulates a tenant that sends calls at 60 percent of its limit for 20 s.
func simulateBelowTheLimit(seed uint64, noLongDelays bool) *tokenSimulation {
	limit := Limit{PerSecond: float64(5 + 6*seed), Capacity: float64(5+6*seed)*1.3 + 10}
	s := newTokenSimulation(seed, 5, 8)
	s.noLongDelays = noLongDelays
	// The members accrue tokens before the first call arrives.
	s.run(2*time.Second, 0, limit, false)
	s.run(20*time.Second, 0.6*limit.PerSecond, limit, false)
	return s
}

// TestSlowMembersStillGrant guards against a fault of an earlier version: no call got a token while each response
// took longer than responseTimeout, because the router ignored a response once it had sent newer requests.
func TestSlowMembersStillGrant(t *testing.T) {
	limit := Limit{PerSecond: 30, Capacity: 60}
	s := newTokenSimulation(3, 5, 8)
	s.extraDelay = 45 * time.Millisecond
	// The members accrue tokens before the first call arrives.
	s.run(2*time.Second, 0, limit, false)
	s.run(15*time.Second, 0.6*limit.PerSecond, limit, false)
	// Two exchanges take about 0.2 s, the maximum time for which a call waits. A call that needs two
	// exchanges may therefore be denied.
	if s.denied*20 > len(s.spent) {
		t.Errorf("%d calls denied and %d served, want at most 1 denied per 20 served", s.denied, len(s.spent))
	}
	if spent := s.maxSpentWithin(5 * time.Second); float64(spent) > 5*limit.PerSecond+limit.Capacity {
		t.Errorf("%d tokens spent in 5 s, want at most %.0f", spent, 5*limit.PerSecond+limit.Capacity)
	}
}
