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

// exploredLimit is the limit of the exploration: as many tokens a second, and a small bucket.
var exploredLimit = Limit{PerSecond: 1, Capacity: 4}

// faultyVariant is a fault that is put into the protocol: the exploration has to find it.
type faultyVariant string

const (
	correct         faultyVariant = ""
	startsFull      faultyVariant = "a member that starts has a full bucket"
	servesOldEpochs faultyVariant = "a member serves older memberships"
	yieldsNothing   faultyVariant = "a router keeps what it told members it wants no more"
	outlivesBatches faultyVariant = "a router spends after its batch has ended"
	ignoresDebts    faultyVariant = "a member that first hears from a router passes over what it spent"
)

// exploredMember is a member with its ledger, and the epoch of the membership that it has accepted.
type exploredMember struct {
	name   Member
	ledger *Ledger
	epoch  int
}

// exploredRouter is a router, and the epoch of the membership that it knows.
type exploredRouter struct {
	allowances *Allowances
	epoch      int
}

// staleRequest is a request that is served at any later time; nobody waits for its answer.
type staleRequest struct {
	member  int
	epoch   int
	request Request
}

// groupState is one state of the exploration.
type groupState struct {
	now     time.Duration
	members []exploredMember
	routers []exploredRouter
	stale   []staleRequest
	spent   []time.Duration
	// steps tell how the state was reached.
	steps []string
	// What may still happen.
	asks, losses, restarts, crashes, ticks, changes int
}

func (s *groupState) time() time.Time { return noon.Add(s.now) }

func cloneLedger(l *Ledger) *Ledger {
	copied := &Ledger{since: l.since, idle: l.idle, sweptAt: l.sweptAt, subjects: map[string]*subject{}}
	for name, old := range l.subjects {
		bucket := *old
		bucket.holders = map[string]*holder{}
		for router, h := range old.holders {
			holding := *h
			bucket.holders[router] = &holding
		}
		copied.subjects[name] = &bucket
	}
	return copied
}

func cloneAllowances(a *Allowances) *Allowances {
	copied := NewAllowances(a.router)
	copied.sequence, copied.sweptAt = a.sequence, a.sweptAt
	for name, old := range a.subjects {
		s := *old
		s.members, s.sent = maps.Clone(old.members), map[Member][]sentWant{}
		for name, unanswered := range old.sent {
			s.sent[name] = slices.Clone(unanswered)
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
	next.stale, next.spent = slices.Clone(s.stale), slices.Clone(s.spent)
	next.steps = slices.Clip(s.steps)
	return &next
}

// stateWriter writes what tells states apart.
type stateWriter struct{ bytes []byte }

func (w *stateWriter) numbers(values ...int64) {
	for _, value := range values {
		w.bytes = binary.AppendVarint(w.bytes, value)
	}
}

func (w *stateWriter) time(at time.Time) { w.numbers(int64(at.Sub(noon))) }

func (w *stateWriter) name(name string) { w.bytes = append(append(w.bytes, name...), 0) }

// key tells states apart.
func (s *groupState) key() [16]byte {
	var w stateWriter
	w.numbers(int64(s.now), int64(s.asks), int64(s.losses), int64(s.restarts), int64(s.crashes), int64(s.ticks), int64(s.changes), int64(len(s.spent)))
	for _, at := range s.spent {
		w.numbers(int64(at))
	}
	for _, m := range s.members {
		w.member(m)
	}
	for _, r := range s.routers {
		w.router(r)
	}
	for _, stale := range s.stale {
		w.name(stale.request.Router)
		w.numbers(int64(stale.member), int64(stale.epoch), int64(stale.request.Sequence))
	}
	hash := fnv.New128a()
	_, _ = hash.Write(w.bytes)
	return [16]byte(hash.Sum(nil))
}

func (w *stateWriter) member(m exploredMember) {
	w.numbers(int64(m.epoch), int64(len(m.ledger.subjects)))
	w.time(m.ledger.since)
	w.bytes = strconv.AppendBool(w.bytes, m.ledger.idle)
	for _, bucket := range m.ledger.subjects {
		w.numbers(int64(bucket.level*1000), int64(len(bucket.holders)))
		w.time(bucket.filledAt)
		for _, name := range slices.Sorted(maps.Keys(bucket.holders)) {
			h := bucket.holders[name]
			w.name(name)
			w.numbers(int64(h.sequence), int64(h.granted), int64(h.spent))
			w.time(h.expires)
		}
	}
}

func (w *stateWriter) router(r exploredRouter) {
	bucket := r.allowances.subjects["a"]
	w.name(r.allowances.router)
	w.numbers(int64(r.epoch), int64(r.allowances.sequence), int64(bucket.spent), int64(bucket.debt), int64(len(bucket.members)))
	w.time(bucket.debtAt)
	for _, name := range slices.Sorted(maps.Keys(bucket.members)) {
		grant := bucket.members[name]
		w.name(string(name))
		w.numbers(int64(grant.granted), int64(grant.sequence))
		w.time(grant.expires)
	}
	for _, name := range slices.Sorted(maps.Keys(bucket.sent)) {
		w.name(string(name))
		for _, sent := range bucket.sent[name] {
			w.numbers(int64(sent.sequence), int64(sent.mayHold))
		}
	}
}

// groupExplorer visits every state that can be reached, once each.
type groupExplorer struct {
	variant   faultyVariant
	scope     explorationScope
	seen      map[[16]byte]struct{}
	violation string
}

// exploredGroups are the sets of the epochs: one member of three is replaced by joint consensus.
var exploredGroups = []Group{
	NewGroup([]Member{"m0", "m1", "m2"}),
	NewGroup([]Member{"m0", "m1", "m2"}, []Member{"m0", "m1", "m3"}),
	NewGroup([]Member{"m0", "m1", "m3"}),
}

// counts reports whether a member that has accepted an epoch keeps its ledger.
func (e *groupExplorer) counts(member Member, epoch int) bool {
	return slices.Contains(exploredGroups[epoch].sets[0], member)
}

// mayAccept reports whether the membership of an epoch may be accepted: the one before it is by a quorum of its own
// and of its predecessor.
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

func newBucketRouter(name string, now time.Time) *Allowances {
	a := NewAllowances(name)
	a.Claim(now, "a", exploredLimit).Cancel()
	return a
}

func newGroupState() *groupState {
	s := &groupState{}
	for i := range 4 {
		s.members = append(s.members, exploredMember{name: Member(fmt.Sprint("m", i)), ledger: NewLedger(noon.Add(-time.Minute))})
	}
	s.members[3].ledger.Reset(noon)
	for _, name := range []string{"r0", "r1"} {
		s.routers = append(s.routers, exploredRouter{allowances: newBucketRouter(name, noon)})
	}
	return s
}

// serve has a member serve a request, behind the fence that package controlplane puts before the ledger.
func (e *groupExplorer) serve(s *groupState, member, epoch int, request Request) Response {
	m := s.members[member]
	old := epoch < m.epoch && e.variant != servesOldEpochs
	if old || epoch == m.epoch && !slices.Contains(exploredGroups[epoch].members, m.name) {
		return Response{}
	}
	return m.ledger.Apply(s.time(), request)
}

// delivery outcomes of a request to one member.
const (
	delivered = iota
	requestLost
	responseLost
	requestLate
	deliveryOutcomes
)

// ask has a router ask all members of its group, with one outcome for each.
func (e *groupExplorer) ask(s *groupState, router int, need uint64, ahead float64, outcomes []int) {
	r := &s.routers[router]
	bucket, group := r.allowances.subjects["a"], exploredGroups[r.epoch]
	bucket.waiting, bucket.demand, bucket.demandAt = need, (ahead+0.5)/aheadSpan.Seconds(), s.time()
	before := maps.Clone(bucket.members)
	r.allowances.sequence++
	want := bucket.ask(s.time(), r.allowances.sequence, group.members)
	want.Subject = "a"
	if e.variant == ignoresDebts {
		want.Debt = 0
	}
	if e.variant == yieldsNothing {
		bucket.members = before
	}
	s.steps = append(s.steps, fmt.Sprintf("r%d asks, spent %d hold %d need %d, outcomes %v", router, want.Spent, want.Hold, want.Need, outcomes))
	request := Request{Router: r.allowances.router, Sequence: r.allowances.sequence, Wants: []Want{want}}
	for i, name := range group.members {
		member := slices.IndexFunc(s.members, func(m exploredMember) bool { return m.name == name })
		switch outcomes[i] {
		case requestLost:
			s.losses--
		case requestLate:
			s.losses--
			s.stale = append(s.stale, staleRequest{member, r.epoch, request})
		case responseLost:
			s.losses--
			e.serve(s, member, r.epoch, request)
		default:
			r.allowances.Granted(s.time(), group, name, s.time(), request, e.serve(s, member, r.epoch, request))
			if grant, found := bucket.members[name]; found && e.variant == outlivesBatches {
				grant.expires = noon.Add(time.Hour)
				bucket.members[name] = grant
			}
		}
	}
	for ; bucket.waiting > 0 && bucket.usable(s.time(), group) > bucket.spent; bucket.waiting-- {
		e.spend(s, router)
	}
	bucket.waiting = 0
}

// spend spends a token, and looks whether any span now has too many.
func (e *groupExplorer) spend(s *groupState, router int) {
	s.routers[router].allowances.subjects["a"].spend(s.time())
	s.spent = append(s.spent, s.now)
	s.steps = append(s.steps, fmt.Sprintf("r%d spends", router))
	for i, first := range s.spent {
		allowed := exploredLimit.PerSecond*(s.now-first).Seconds() + exploredLimit.Capacity
		if float64(len(s.spent)-i) > allowed+1e-9 {
			e.violation = fmt.Sprintf("%d spent in %v, %.0f allowed:\n%s", len(s.spent)-i, s.now-first, allowed, strings.Join(s.steps, "\n"))
		}
	}
}

// visit explores what may follow a state.
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
	for i := range s.stale {
		next := s.clone()
		next.stale = slices.Delete(next.stale, i, i+1)
		next.steps = append(next.steps, fmt.Sprintf("m%d gets the late request %d of %s", s.stale[i].member, s.stale[i].request.Sequence, s.stale[i].request.Router))
		e.serve(next, s.stale[i].member, s.stale[i].epoch, s.stale[i].request)
		e.visit(next)
	}
	if s.ticks > 0 {
		for _, length := range e.scope.pauses {
			next := s.clone()
			next.ticks--
			next.now += length
			next.steps = append(next.steps, fmt.Sprint(length, " pass"))
			e.pass(next)
			e.visit(next)
		}
	}
}

// pass has members do what they do as time passes.
func (e *groupExplorer) pass(s *groupState) {
	for i, m := range s.members {
		if !e.counts(m.name, m.epoch) {
			s.members[i].ledger.Reset(s.time())
		}
	}
}

// visitRouter explores what a router may do.
func (e *groupExplorer) visitRouter(s *groupState, i int) {
	r := s.routers[i]
	group := exploredGroups[r.epoch]
	bucket := r.allowances.subjects["a"]
	if bucket.usable(s.time(), group) > bucket.spent {
		next := s.clone()
		e.spend(next, i)
		e.visit(next)
	}
	if s.asks > 0 {
		for _, wanted := range e.scope.wanted {
			e.forOutcomes(s.losses, len(group.members), func(outcomes []int) {
				next := s.clone()
				next.asks--
				e.ask(next, i, wanted.need, wanted.ahead, outcomes)
				e.visit(next)
			})
		}
	}
	if s.crashes > 0 {
		next := s.clone()
		next.crashes--
		next.steps = append(next.steps, fmt.Sprintf("r%d restarts", i))
		next.routers[i].allowances = newBucketRouter(r.allowances.router+"'", s.time())
		e.visit(next)
	}
	if newest := slices.MaxFunc(s.members, func(left, right exploredMember) int { return left.epoch - right.epoch }).epoch; r.epoch < newest {
		next := s.clone()
		next.routers[i].epoch = newest
		e.visit(next)
	}
}

// forOutcomes calls back with every combination of outcomes with at most some that are not delivered.
func (e *groupExplorer) forOutcomes(losses, members int, visit func([]int)) {
	outcomes := make([]int, members)
	var choose func(member, left int)
	choose = func(member, left int) {
		if e.violation != "" {
			return
		}
		if member == members {
			visit(outcomes)
			return
		}
		for outcome := range deliveryOutcomes {
			if outcome != delivered && left == 0 {
				break
			}
			outcomes[member] = outcome
			if outcome == delivered {
				choose(member+1, left)
			} else {
				choose(member+1, left-1)
			}
		}
	}
	choose(0, losses)
}

// visitMember explores what may happen to a member.
func (e *groupExplorer) visitMember(s *groupState, i int) {
	if s.restarts > 0 {
		next := s.clone()
		next.restarts--
		next.steps = append(next.steps, fmt.Sprintf("m%d restarts", i))
		next.members[i].ledger = NewLedger(s.time())
		if e.variant == startsFull {
			next.members[i].ledger = NewLedger(s.time().Add(-time.Minute))
		}
		e.visit(next)
	}
	epoch := s.members[i].epoch + 1
	if s.changes > 0 && epoch < len(exploredGroups) && s.mayAccept(epoch) {
		next := s.clone()
		next.changes--
		next.steps = append(next.steps, fmt.Sprintf("m%d accepts %d", i, epoch))
		next.members[i].epoch = epoch
		if !e.counts(s.members[i].name, s.members[i].epoch) {
			next.members[i].ledger.Reset(s.time())
		}
		e.visit(next)
	}
}

// explorationScope is what may happen in an exploration, how often, and how long it may take.
type explorationScope struct {
	asks, losses, restarts, crashes, ticks, changes int
	// accepted are the epochs that the members have accepted to begin with; empty: all the first.
	accepted []int
	pauses   []time.Duration
	wanted   []wantedTokens
}

// wantedTokens are what a router asks for: for calls that wait, and ahead.
type wantedTokens struct {
	need  uint64
	ahead float64
}

// refillTime is how long an empty bucket takes to fill.
const refillTime = 4 * time.Second

// bothRestart has a majority lose what it counted; TestExploredLimitHoldsWhenAMajorityRestarts explores it.
const bothRestart = "members restart"

// explorationScopes are explored one by one: all at once there would be too many states.
var explorationScopes = map[string]explorationScope{
	bothRestart:            {asks: 2, restarts: 2, ticks: 1, pauses: []time.Duration{refillTime, BatchTTL}, wanted: []wantedTokens{{4, 0}, {0, 2}}},
	"a router restarts":    {asks: 3, crashes: 1, ticks: 1, pauses: []time.Duration{refillTime}, wanted: []wantedTokens{{4, 0}, {0, 2}}},
	"messages get lost":    {asks: 3, losses: 2, wanted: []wantedTokens{{4, 0}, {0, 2}, {0, 0}}},
	"batches end":          {asks: 3, ticks: 2, pauses: []time.Duration{refillTime, BatchTTL}, wanted: []wantedTokens{{4, 0}, {0, 2}}},
	"a member is replaced": {asks: 3, losses: 1, ticks: 1, changes: 1, accepted: []int{1, 1, 1, 2}, pauses: []time.Duration{refillTime}, wanted: []wantedTokens{{4, 0}}},
}

// explore visits all states within a scope.
func explore(variant faultyVariant, scope explorationScope) *groupExplorer {
	e := &groupExplorer{variant: variant, scope: scope, seen: map[[16]byte]struct{}{}}
	s := newGroupState()
	s.asks, s.losses, s.restarts, s.crashes, s.ticks, s.changes = scope.asks, scope.losses, scope.restarts, scope.crashes, scope.ticks, scope.changes
	for i, epoch := range scope.accepted {
		s.members[i].epoch = epoch
	}
	e.visit(s)
	return e
}

// TestExploredLimitHolds visits every state of three members and two routers within the scopes: messages are lost,
// late and overtaken, members and routers restart, a member is replaced.
func TestExploredLimitHolds(t *testing.T) {
	for name, scope := range explorationScopes {
		if name == bothRestart {
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

// TestExploredLimitHoldsWhenAMajorityRestarts guards against QUOTA: members that lost their counts fill up beside what
// routers still hold of their earlier grants.
func TestExploredLimitHoldsWhenAMajorityRestarts(t *testing.T) {
	e := explore(correct, explorationScopes[bothRestart])
	t.Logf("%d states", len(e.seen))
	if e.violation != "" {
		t.Error(e.violation)
	}
}

// TestExplorationFindsFaults wants each fault found that is put into the protocol.
func TestExplorationFindsFaults(t *testing.T) {
	for variant, scope := range map[faultyVariant]string{startsFull: bothRestart, servesOldEpochs: "a member is replaced", yieldsNothing: "messages get lost", outlivesBatches: "batches end", ignoresDebts: "messages get lost"} {
		t.Run(string(variant), func(t *testing.T) {
			t.Parallel()
			e := explore(variant, explorationScopes[scope])
			t.Logf("%s: %d states: %s", variant, len(e.seen), e.violation)
			if e.violation == "" {
				t.Error("not found")
			}
		})
	}
}
