//go:build !race

package quota

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// exploredLimit is the limit in all explorations. A small bucket keeps the number of states low.
var exploredLimit = Limit{PerSecond: 1, Capacity: 4}

// protocolVariant is the correct protocol or a variant with a fault that the exploration must find.
type protocolVariant string

const (
	correct             protocolVariant = ""
	startsFull          protocolVariant = "a member starts with a full bucket"
	acceptsOldEpochs    protocolVariant = "a member serves requests of older memberships"
	keepsSurplusTokens  protocolVariant = "a router keeps tokens beyond its requested target"
	spendsExpiredGrants protocolVariant = "a router spends tokens of expired grants"
	ignoresDebt         protocolVariant = "a member ignores the debt in the first request of a router"
)

// exploredMember is a member with its ledger and the epoch of the membership that it has accepted.
type exploredMember struct {
	name   Member
	ledger *Ledger
	epoch  int
}

// exploredRouter is a router with the epoch of the membership that it knows.
type exploredRouter struct {
	allowances *Allowances
	epoch      int
}

// delayedRequest is a request that a member receives at an arbitrary later time. The member's response is dropped.
type delayedRequest struct {
	member  int
	epoch   int
	request Request
}

// groupState is one state of the exploration: the members, the routers and the delayed requests.
type groupState struct {
	now     time.Duration
	members []exploredMember
	routers []exploredRouter
	delayed []delayedRequest
	// spent holds the time of each spent token, in ascending order.
	spent []time.Duration
	// steps describes how the state was reached.
	steps []string
	// requests and the following fields are the remaining numbers of events of each kind.
	requests, undelivered, memberRestarts, routerRestarts, timeSteps, membershipChanges int
}

func (s *groupState) time() time.Time { return noon.Add(s.now) }

func cloneLedger(l *Ledger) *Ledger {
	copied := &Ledger{since: l.since, idle: l.idle, sweptAt: l.sweptAt, buckets: map[string]*bucket{}}
	for name, old := range l.buckets {
		copiedBucket := *old
		copiedBucket.accounts = map[string]*routerAccount{}
		for router, oldAccount := range old.accounts {
			account := *oldAccount
			copiedBucket.accounts[router] = &account
		}
		copied.buckets[name] = &copiedBucket
	}
	return copied
}

func cloneAllowances(a *Allowances) *Allowances {
	copied := NewAllowances(a.router)
	copied.sequence, copied.sweptAt = a.sequence, a.sweptAt
	for name, old := range a.subjects {
		s := *old
		s.members, s.pendingRequests = maps.Clone(old.members), map[Member][]pendingRequest{}
		for name, pending := range old.pendingRequests {
			s.pendingRequests[name] = slices.Clone(pending)
		}
		copied.subjects[name] = &s
	}
	return copied
}

func (s *groupState) clone() *groupState {
	next := *s
	next.members, next.routers = slices.Clone(s.members), slices.Clone(s.routers)
	for i := range next.members {
		next.members[i].ledger = cloneLedger(s.members[i].ledger)
	}
	for i := range next.routers {
		next.routers[i].allowances = cloneAllowances(s.routers[i].allowances)
	}
	next.delayed, next.spent = slices.Clone(s.delayed), slices.Clone(s.spent)
	next.steps = slices.Clip(s.steps)
	return &next
}

// stateWriter encodes the parts of a state that distinguish it from other states.
type stateWriter struct{ bytes []byte }

func (w *stateWriter) numbers(values ...int64) {
	for _, value := range values {
		w.bytes = binary.AppendVarint(w.bytes, value)
	}
}

func (w *stateWriter) time(at time.Time) { w.numbers(int64(at.Sub(noon))) }

func (w *stateWriter) name(name string) { w.bytes = append(append(w.bytes, name...), 0) }

// key returns a hash that identifies the state.
func (s *groupState) key() [16]byte {
	var w stateWriter
	w.numbers(int64(s.now), int64(s.requests), int64(s.undelivered), int64(s.memberRestarts), int64(s.routerRestarts),
		int64(s.timeSteps), int64(s.membershipChanges), int64(len(s.spent)))
	for _, at := range s.spent {
		w.numbers(int64(at))
	}
	for _, m := range s.members {
		w.member(m)
	}
	for _, r := range s.routers {
		w.router(r)
	}
	for _, delayed := range s.delayed {
		w.name(delayed.request.Router)
		w.numbers(int64(delayed.member), int64(delayed.epoch), int64(delayed.request.Sequence))
	}
	hash := fnv.New128a()
	_, _ = hash.Write(w.bytes)
	return [16]byte(hash.Sum(nil))
}

func (w *stateWriter) member(m exploredMember) {
	w.numbers(int64(m.epoch), int64(len(m.ledger.buckets)))
	w.time(m.ledger.since)
	w.bytes = strconv.AppendBool(w.bytes, m.ledger.idle)
	for _, bucket := range m.ledger.buckets {
		w.numbers(int64(bucket.level*1000), int64(len(bucket.accounts)))
		w.time(bucket.filledAt)
		for _, name := range slices.Sorted(maps.Keys(bucket.accounts)) {
			account := bucket.accounts[name]
			w.name(name)
			w.numbers(int64(account.sequence), int64(account.granted), int64(account.spent))
			w.time(account.expires)
		}
	}
}

func (w *stateWriter) router(r exploredRouter) {
	allowance := r.allowances.subjects["a"]
	w.name(r.allowances.router)
	w.numbers(int64(r.epoch), int64(r.allowances.sequence), int64(allowance.spent), int64(allowance.debt),
		int64(len(allowance.members)))
	w.time(allowance.debtAt)
	for _, name := range slices.Sorted(maps.Keys(allowance.members)) {
		grant := allowance.members[name]
		w.name(string(name))
		w.numbers(int64(grant.granted), int64(grant.sequence))
		w.time(grant.expires)
	}
	for _, name := range slices.Sorted(maps.Keys(allowance.pendingRequests)) {
		w.name(string(name))
		for _, pending := range allowance.pendingRequests[name] {
			w.numbers(int64(pending.sequence), int64(pending.maxGranted))
		}
	}
}

// groupExplorer visits every reachable state once.
type groupExplorer struct {
	variant   protocolVariant
	scope     explorationScope
	seen      map[[16]byte]struct{}
	violation string
}

// exploredGroups are the groups by epoch. One of three members is replaced in two steps, with a
// joint group in between.
var exploredGroups = []Group{
	NewGroup([]Member{"m0", "m1", "m2"}),
	NewGroup([]Member{"m0", "m1", "m2"}, []Member{"m0", "m1", "m3"}),
	NewGroup([]Member{"m0", "m1", "m3"}),
}

// keepsLedger reports whether a member that has accepted an epoch keeps its ledger. As in package controlplane, a member
// resets its ledger while it is outside the group, or only in the incoming set of a joint group (the second set).
func (e *groupExplorer) keepsLedger(member Member, epoch int) bool {
	return slices.Contains(exploredGroups[epoch].sets[0], member)
}

// mayAccept reports whether members may accept the membership of an epoch. The final membership may be accepted only
// after a quorum of the joint group has accepted the joint membership.
func (s *groupState) mayAccept(epoch int) bool {
	if epoch < 2 {
		return true
	}
	return exploredGroups[epoch-1].isQuorum(func(name Member) bool {
		for _, m := range s.members {
			if m.name == name {
				return m.epoch >= epoch-1
			}
		}
		return false
	})
}

// newExploredAllowances returns the allowances of a router that knows the explored subject.
func newExploredAllowances(name string, now time.Time) *Allowances {
	a := NewAllowances(name)
	a.Claim(now, "a", exploredLimit).Cancel()
	return a
}

// newGroupState returns the initial state: three members with full buckets, one more member outside the group, and
// two routers.
func newGroupState() *groupState {
	s := &groupState{}
	for i := range 4 {
		s.members = append(s.members, exploredMember{name: Member(fmt.Sprint("m", i)), ledger: NewLedger(noon.Add(-time.Minute))})
	}
	s.members[3].ledger.Reset(noon)
	for _, name := range []string{"r0", "r1"} {
		s.routers = append(s.routers, exploredRouter{allowances: newExploredAllowances(name, noon)})
	}
	return s
}

// serve lets a member serve a request. Like package controlplane, it rejects a request whose epoch is older than the
// member's, and a request with the member's epoch if the member does not belong to the group of that epoch.
func (e *groupExplorer) serve(s *groupState, member, epoch int, request Request) Response {
	m := s.members[member]
	old := epoch < m.epoch && e.variant != acceptsOldEpochs
	if old || epoch == m.epoch && !slices.Contains(exploredGroups[epoch].members, m.name) {
		return Response{}
	}
	return m.ledger.Apply(s.time(), request)
}

// The outcomes of a request to one member.
const (
	delivered = iota
	requestLost
	responseLost
	requestLate
	// deliveryOutcomes is the number of outcomes.
	deliveryOutcomes
)

// sendRequest sends a router's request to all members of its group, with one outcome for each member. The router then
// spends tokens for its waiting calls.
func (e *groupExplorer) sendRequest(s *groupState, router int, need uint64, prefetch float64, outcomes []int) {
	r := &s.routers[router]
	allowance, group := r.allowances.subjects["a"], exploredGroups[r.epoch]
	// prefetchTarget subtracts one token and rounds up: with half a token added, it returns prefetch.
	allowance.waiting, allowance.demand, allowance.demandAt = need, (prefetch+0.5)/prefetchSpan.Seconds(), s.time()
	grantsBefore := maps.Clone(allowance.members)
	r.allowances.sequence++
	want := allowance.newWant(s.time(), r.allowances.sequence, group.members)
	want.Subject = "a"
	if e.variant == ignoresDebt {
		want.Debt = 0
	}
	if e.variant == keepsSurplusTokens {
		allowance.members = grantsBefore
	}
	s.steps = append(s.steps, fmt.Sprintf("r%d sends a request: spent %d, target %d, need %d, outcomes %v",
		router, want.Spent, want.Target, want.Need, outcomes))
	request := Request{Router: r.allowances.router, Sequence: r.allowances.sequence, Wants: []Want{want}}
	for i, name := range group.members {
		member := slices.IndexFunc(s.members, func(m exploredMember) bool { return m.name == name })
		switch outcomes[i] {
		case requestLost:
			s.undelivered--
		case requestLate:
			s.undelivered--
			s.delayed = append(s.delayed, delayedRequest{member, r.epoch, request})
		case responseLost:
			s.undelivered--
			e.serve(s, member, r.epoch, request)
		default:
			r.allowances.HandleResponse(s.time(), group, name, s.time(), request, e.serve(s, member, r.epoch, request))
			if grant, found := allowance.members[name]; found && e.variant == spendsExpiredGrants {
				grant.expires = noon.Add(time.Hour)
				allowance.members[name] = grant
			}
		}
	}
	for ; allowance.waiting > 0 && allowance.usable(s.time(), group) > allowance.spent; allowance.waiting-- {
		e.spend(s, router)
	}
	allowance.waiting = 0
}

// spend spends a token and checks whether the limit is now exceeded in any span.
func (e *groupExplorer) spend(s *groupState, router int) {
	s.routers[router].allowances.subjects["a"].spend(s.time())
	s.spent = append(s.spent, s.now)
	s.steps = append(s.steps, fmt.Sprintf("r%d spends", router))
	for i, first := range s.spent {
		allowed := exploredLimit.PerSecond*(s.now-first).Seconds() + exploredLimit.Capacity
		if float64(len(s.spent)-i) > allowed+1e-9 {
			e.violation = fmt.Sprintf("%d tokens spent in %v, want at most %.0f:\n%s",
				len(s.spent)-i, s.now-first, allowed, strings.Join(s.steps, "\n"))
		}
	}
}

// visit explores a state and all states that can follow it, unless the state was visited before or a violation was found.
func (e *groupExplorer) visit(s *groupState) {
	key := s.key()
	if _, seen := e.seen[key]; seen || e.violation != "" {
		return
	}
	e.seen[key] = struct{}{}
	for i := range s.routers {
		e.visitRouter(s, i)
	}
	for i := range s.members {
		e.visitMember(s, i)
	}
	for i := range s.delayed {
		next := s.clone()
		next.delayed = slices.Delete(next.delayed, i, i+1)
		next.steps = append(next.steps, fmt.Sprintf("m%d receives the delayed request %d of %s",
			s.delayed[i].member, s.delayed[i].request.Sequence, s.delayed[i].request.Router))
		e.serve(next, s.delayed[i].member, s.delayed[i].epoch, s.delayed[i].request)
		e.visit(next)
	}
	if s.timeSteps > 0 {
		for _, length := range e.scope.stepLengths {
			next := s.clone()
			next.timeSteps--
			next.now += length
			next.steps = append(next.steps, fmt.Sprint(length, " elapse"))
			e.advanceMembers(next)
			e.visit(next)
		}
	}
}

// advanceMembers resets the ledgers that members do not keep (see keepsLedger), as members do periodically.
func (e *groupExplorer) advanceMembers(s *groupState) {
	for i, m := range s.members {
		if !e.keepsLedger(m.name, m.epoch) {
			s.members[i].ledger.Reset(s.time())
		}
	}
}

// visitRouter explores the possible events at a router.
func (e *groupExplorer) visitRouter(s *groupState, i int) {
	r := s.routers[i]
	group := exploredGroups[r.epoch]
	allowance := r.allowances.subjects["a"]
	if allowance.usable(s.time(), group) > allowance.spent {
		next := s.clone()
		e.spend(next, i)
		e.visit(next)
	}
	if s.requests > 0 {
		for _, wanted := range e.scope.wanted {
			e.forOutcomes(s.undelivered, len(group.members), func(outcomes []int) {
				next := s.clone()
				next.requests--
				e.sendRequest(next, i, wanted.need, wanted.prefetch, outcomes)
				e.visit(next)
			})
		}
	}
	if s.routerRestarts > 0 {
		next := s.clone()
		next.routerRestarts--
		next.steps = append(next.steps, fmt.Sprintf("r%d restarts", i))
		next.routers[i].allowances = newExploredAllowances(r.allowances.router+"'", s.time())
		e.visit(next)
	}
	if newest := slices.MaxFunc(s.members, func(left, right exploredMember) int {
		return left.epoch - right.epoch
	}).epoch; r.epoch < newest {
		next := s.clone()
		next.routers[i].epoch = newest
		e.visit(next)
	}
}

// forOutcomes calls visit with every combination of outcomes in which at most the given number of requests is not
// delivered normally.
func (e *groupExplorer) forOutcomes(undelivered, members int, visit func([]int)) {
	outcomes := make([]int, members)
	var choose func(member, remaining int)
	choose = func(member, remaining int) {
		if e.violation != "" {
			return
		}
		if member == members {
			visit(outcomes)
			return
		}
		for outcome := range deliveryOutcomes {
			if outcome != delivered && remaining == 0 {
				break
			}
			outcomes[member] = outcome
			if outcome == delivered {
				choose(member+1, remaining)
			} else {
				choose(member+1, remaining-1)
			}
		}
	}
	choose(0, undelivered)
}

// visitMember explores the possible events at a member.
func (e *groupExplorer) visitMember(s *groupState, i int) {
	if s.memberRestarts > 0 {
		next := s.clone()
		next.memberRestarts--
		next.steps = append(next.steps, fmt.Sprintf("m%d restarts", i))
		next.members[i].ledger = NewLedger(s.time())
		if e.variant == startsFull {
			next.members[i].ledger = NewLedger(s.time().Add(-time.Minute))
		}
		e.visit(next)
	}
	epoch := s.members[i].epoch + 1
	if s.membershipChanges > 0 && epoch < len(exploredGroups) && s.mayAccept(epoch) {
		next := s.clone()
		next.membershipChanges--
		next.steps = append(next.steps, fmt.Sprintf("m%d accepts epoch %d", i, epoch))
		next.members[i].epoch = epoch
		if !e.keepsLedger(s.members[i].name, s.members[i].epoch) {
			next.members[i].ledger.Reset(s.time())
		}
		e.visit(next)
	}
}

// explorationScope limits the events of an exploration.
type explorationScope struct {
	// requests and the following fields are the maximum numbers of events of each kind.
	requests, undelivered, memberRestarts, routerRestarts, timeSteps, membershipChanges int
	// accepted are the epochs that the members have accepted at the start; empty means the first epoch for all members.
	accepted    []int
	stepLengths []time.Duration
	wanted      []wantedTokens
}

// wantedTokens are the numbers of tokens that a router requests: need for waiting calls, and prefetch in advance.
type wantedTokens struct {
	need     uint64
	prefetch float64
}

// refillTime is how long an empty bucket of exploredLimit takes to fill.
const refillTime = 4 * time.Second

// majorityRestarts is the name of the scope in which a majority of the members restarts and loses its ledgers.
// TestExploredLimitHoldsWhenAMajorityRestarts explores this scope with the correct protocol.
const majorityRestarts = "members restart"

// explorationScopes are explored separately, because a scope with all kinds of events would have too many states.
var explorationScopes = map[string]explorationScope{
	majorityRestarts: {
		requests: 2, memberRestarts: 2, timeSteps: 1,
		stepLengths: []time.Duration{refillTime, BatchTTL}, wanted: []wantedTokens{{4, 0}, {0, 2}},
	},
	"a router restarts": {
		requests: 3, routerRestarts: 1, timeSteps: 1,
		stepLengths: []time.Duration{refillTime}, wanted: []wantedTokens{{4, 0}, {0, 2}},
	},
	"messages get lost": {
		requests: 3, undelivered: 2,
		wanted: []wantedTokens{{4, 0}, {0, 2}, {0, 0}},
	},
	"grants expire": {
		requests: 3, timeSteps: 2,
		stepLengths: []time.Duration{refillTime, BatchTTL}, wanted: []wantedTokens{{4, 0}, {0, 2}},
	},
	"a member is replaced": {
		requests: 3, undelivered: 1, timeSteps: 1, membershipChanges: 1, accepted: []int{1, 1, 1, 2},
		stepLengths: []time.Duration{refillTime}, wanted: []wantedTokens{{4, 0}},
	},
}

// explore visits all reachable states within a scope.
func explore(variant protocolVariant, scope explorationScope) *groupExplorer {
	e := &groupExplorer{variant: variant, scope: scope, seen: map[[16]byte]struct{}{}}
	s := newGroupState()
	s.requests, s.undelivered, s.memberRestarts, s.routerRestarts, s.timeSteps, s.membershipChanges =
		scope.requests, scope.undelivered, scope.memberRestarts, scope.routerRestarts, scope.timeSteps, scope.membershipChanges
	for i, epoch := range scope.accepted {
		s.members[i].epoch = epoch
	}
	e.visit(s)
	return e
}

// TestExploredLimitHolds visits every state of three members and two routers within all scopes except majorityRestarts:
// messages are lost, delayed and reordered, grants expire, a router restarts, and a member is replaced.
func TestExploredLimitHolds(t *testing.T) {
	for name, scope := range explorationScopes {
		if name == majorityRestarts {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := explore(correct, scope)
			t.Logf("%s: %d states", name, len(e.seen))
			if e.violation != "" {
				t.Error(e.violation)
			}
		})
	}
}

// TestExploredLimitHoldsWhenAMajorityRestarts guards against routers that together exceed a limit after a
// majority of the members has lost its ledgers: the new buckets fill up while routers still have unspent tokens
// of earlier grants.
func TestExploredLimitHoldsWhenAMajorityRestarts(t *testing.T) {
	e := explore(correct, explorationScopes[majorityRestarts])
	t.Logf("%d states", len(e.seen))
	if e.violation != "" {
		t.Error(e.violation)
	}
}

// TestExplorationFindsFaults checks that the exploration finds the fault of each faulty variant.
func TestExplorationFindsFaults(t *testing.T) {
	for variant, scope := range map[protocolVariant]string{
		startsFull:          majorityRestarts,
		acceptsOldEpochs:    "a member is replaced",
		keepsSurplusTokens:  "messages get lost",
		spendsExpiredGrants: "grants expire",
		ignoresDebt:         "messages get lost",
	} {
		t.Run(string(variant), func(t *testing.T) {
			t.Parallel()
			e := explore(variant, explorationScopes[scope])
			t.Logf("%s: %d states: %s", variant, len(e.seen), e.violation)
			if e.violation == "" {
				t.Error("the exploration found no violation, want one")
			}
		})
	}
}
