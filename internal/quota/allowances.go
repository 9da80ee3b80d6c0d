package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Member names a member of the group.
type Member string

// Group is who grants: the members of one set, or of two while one replaces the other. A quorum is a majority
// of each set. The zero Group has no quorum.
type Group struct {
	members []Member
	sets    [][]Member
}

// NewGroup makes the group of these sets; empty ones are left out.
func NewGroup(sets ...[]Member) Group {
	var group Group
	for _, set := range sets {
		if len(set) == 0 {
			continue
		}
		group.sets = append(group.sets, slices.Clone(set))
		for _, member := range set {
			if !slices.Contains(group.members, member) {
				group.members = append(group.members, member)
			}
		}
	}
	return group
}

// Members lists the members of all sets, each once.
func (g Group) Members() []Member { return g.members }

// isQuorum reports whether the members for which has holds are a majority of each set.
func (g Group) isQuorum(has func(Member) bool) bool {
	for _, set := range g.sets {
		count := 0
		for _, member := range set {
			if has(member) {
				count++
			}
		}
		if count*2 <= len(set) {
			return false
		}
	}
	return len(g.sets) > 0
}

// usualSetSize is up to how many members of a set are compared without allocating.
const usualSetSize = 9

// quorumValue is the highest value that the values of a quorum all reach.
func (g Group) quorumValue(valueOf func(Member) uint64) uint64 {
	if len(g.sets) == 0 {
		return 0
	}
	lowest := uint64(math.MaxUint64)
	for _, set := range g.sets {
		var buffer [usualSetSize]uint64
		values := buffer[:0]
		for _, member := range set {
			values = append(values, valueOf(member))
		}
		slices.Sort(values)
		lowest = min(lowest, values[(len(values)-1)/2])
	}
	return lowest
}

// preferred are the members that routers ask for a subject first: the fewest that are a quorum, the same for
// all routers, so that each of them sees all that is spent.
func (g Group) preferred(subject string) []Member {
	ranked := slices.Clone(g.members)
	slices.SortFunc(ranked, func(left, right Member) int {
		return cmp.Compare(membership.Weight(subject, string(right)), membership.Weight(subject, string(left)))
	})
	for i := range ranked {
		if g.isQuorum(func(member Member) bool { return slices.Contains(ranked[:i+1], member) }) {
			return ranked[:i+1]
		}
	}
	return ranked
}

// How a router asks ahead.
const (
	// demandSpan is the span over which a router's demand is averaged.
	demandSpan = time.Second
	// aheadSpan is for how long a router wants to hold tokens by its demand.
	aheadSpan = 3 * time.Second
	// One part in lowShare of what a router wants to hold is what it may be down to before it asks ahead.
	lowShare = 4
	// maxAhead bounds the tokens that a router holds of one subject.
	maxAhead = 64
	// minDenial is how long a denial is answered without asking again. Tokens that flow in meanwhile are
	// not lost: the members' buckets keep them.
	minDenial = 50 * time.Millisecond
	// askAgain is how long the answers to a request are waited for before all members are asked.
	askAgain  = 40 * time.Millisecond
	maxDenial = 250 * time.Millisecond
	// maxLateAsks is how often the wait for answers doubles before all members are asked again.
	maxLateAsks = 2
	// maxAheadPause is the longest pause between two requests ahead of which the first brought nothing.
	maxAheadPause = 800 * time.Millisecond
	// forgetAfter is how long a subject is remembered that nobody spends.
	forgetAfter = 30 * time.Second
)

// Allowances is what one router may spend: for each subject the tokens that a quorum of members has granted
// and that the router has not spent.
type Allowances struct {
	mutex    sync.Mutex
	router   string
	sequence uint64
	subjects map[string]*allowance
	sweptAt  time.Time
	// waiting is how many calls wait for tokens.
	waiting uint64
	counts  counts
}

// allowance is a router's share of one subject.
type allowance struct {
	limit Limit
	spent uint64
	// reported is the part of spent that members were told of.
	reported uint64
	members  map[Member]memberGrant
	// debt is by how much the router's own spending, as of debtAt, was ahead of what flows in.
	debt   float64
	debtAt time.Time
	// sent are the requests to each member that it has not answered, in order; asked is the newest of all.
	sent  map[Member][]sentWant
	asked uint64
	// lateAsks counts the requests in a row whose answers were late.
	lateAsks int
	// askedMembers is how many members that one went to, askAll whether the next goes to all.
	askedMembers int
	askAll       bool
	// demand is an average of tokens wanted a second, as of demandAt.
	demand   float64
	demandAt time.Time
	waiting  uint64
	// unasked is set while a call waits that no request was made for yet.
	unasked bool
	// askedAt is when the subject was last in a request.
	askedAt time.Time
	// aheadPause lies between two requests ahead, usableAsked is what was usable at the last one.
	aheadPause  time.Duration
	usableAsked uint64
	// deniedUntil ends the last denial.
	deniedUntil time.Time
	denials     denials
	counted     *Counts
}

// sentWant is what a member was told in a request.
type sentWant struct {
	sequence uint64
	// mayHold is up to how many tokens, counted from the router's start, the request leaves the router.
	mayHold uint64
}

// maxUnanswered is how many requests to one member may be unanswered: answers to older ones are passed over.
const maxUnanswered = 8

// memberGrant is the newest grant of one member.
type memberGrant struct {
	sequence uint64
	granted  uint64
	expires  time.Time
	wait     time.Duration
}

// NewAllowances makes the allowances of one incarnation of a router.
func NewAllowances(router string) *Allowances {
	return &Allowances{router: router, subjects: map[string]*allowance{}}
}

// Verdict is what became of a claim.
type Verdict int

// The verdicts.
const (
	// Pending: no quorum has answered yet.
	Pending Verdict = iota
	// Taken: the token is spent.
	Taken
	// Denied: a quorum has no token left.
	Denied
)

// Claim is one call's claim to a token of a subject. It ends with Try's verdict Taken or Denied, or with Cancel.
type Claim struct {
	allowances *Allowances
	subject    *allowance
	// since is the first request whose answers count as answers to the claim; zero: none was needed yet.
	since uint64
	// askedAll is set once that request goes to all members.
	askedAll bool
	wait     time.Duration
}

// Claim begins a claim to a token.
func (a *Allowances) Claim(now time.Time, name string, limit Limit) *Claim {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now.Sub(a.sweptAt) >= forgetAfter {
		a.sweep(now)
	}
	s, found := a.subjects[name]
	if !found {
		s = &allowance{members: map[Member]memberGrant{}, sent: map[Member][]sentWant{}, demandAt: now, aheadPause: minDenial, counted: a.counts.of(name)}
		a.subjects[name] = s
	}
	if !found || s.limit.Revision.before(limit.Revision) {
		s.limit = limit
	}
	s.want(now)
	return &Claim{allowances: a, subject: s}
}

// Try takes a token if the router has one.
func (c *Claim) Try(now time.Time, group Group) Verdict {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	s := c.subject
	if s.usable(now, group) > s.spent {
		return c.take(now)
	}
	if c.since == 0 {
		if now.Before(s.deniedUntil) {
			return c.deny(now, s.deniedUntil.Sub(now))
		}
		c.await(now)
		return Pending
	}
	if !s.answered(c.since, group) {
		return Pending
	}
	answers, wait := s.answers(c.since)
	switch {
	case !c.askedAll && s.askedMembers < len(group.members):
		// A member that has just started has nothing to grant: others may make a quorum that has.
		c.askedAll, s.askAll = true, true
		c.askNext()
		return Pending
	case answers < s.askedMembers && now.Sub(s.askedAt) < askAgain:
		return Pending
	}
	wait = min(max(wait, minDenial), maxDenial)
	s.deniedUntil = now.Add(wait)
	return c.deny(now, wait)
}

// take spends a token.
func (c *Claim) take(now time.Time) Verdict {
	c.subject.spend(now)
	if c.since == 0 {
		c.subject.counted.Held++
	} else {
		c.subject.counted.Asked++
	}
	c.endWaiting()
	return Taken
}

// deny ends the claim without a token.
func (c *Claim) deny(now time.Time, wait time.Duration) Verdict {
	c.wait = wait
	c.subject.deny(now)
	c.endWaiting()
	return Denied
}

// await has the claim wait for the answers to a request. One of a subject that was denied lately goes to all
// members at once: the few would deny it again.
func (c *Claim) await(now time.Time) {
	c.subject.waiting++
	c.allowances.waiting++
	if now.Sub(c.subject.deniedUntil) < maxDenial {
		c.askedAll, c.subject.askAll = true, true
	}
	c.askNext()
}

// Due reports whether the claim's subject is to be asked for.
func (c *Claim) Due(now time.Time, group Group) bool {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	return c.subject.due(now, group)
}

// askNext has the answers to the next request count.
func (c *Claim) askNext() {
	c.since = c.allowances.sequence + 1
	c.subject.unasked = true
}

// Wait is how long it takes at least until there may be a token, after a denial.
func (c *Claim) Wait() time.Duration { return c.wait }

// Cancel ends a claim that nobody waits for any more.
func (c *Claim) Cancel() {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	c.subject.counted.Unknown++
	c.endWaiting()
}

func (c *Claim) endWaiting() {
	if c.since != 0 {
		c.subject.waiting--
		c.allowances.waiting--
		c.since = 0
	}
}

// GiveBack returns a token that was taken for a call that no server was sent. One that the members were told is
// spent stays spent: they may have granted it anew.
func (a *Allowances) GiveBack(name string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if s, found := a.subjects[name]; found && s.spent > s.reported {
		s.spent--
		s.debt = max(0, s.debt-1)
	}
}

// spend counts a token as spent.
func (s *allowance) spend(now time.Time) {
	s.spent++
	s.debt, s.debtAt = s.debtNow(now)+1, now
}

// debtNow is the debt at a moment.
func (s *allowance) debtNow(now time.Time) float64 {
	return max(0, s.debt-now.Sub(s.debtAt).Seconds()*s.limit.PerSecond)
}

// usable is up to how many tokens, counted from the router's start, a quorum lets the router spend.
func (s *allowance) usable(now time.Time, group Group) uint64 {
	return group.quorumValue(func(member Member) uint64 {
		if grant, found := s.members[member]; found && now.Before(grant.expires) {
			return grant.granted
		}
		return 0
	})
}

// answered reports whether a quorum has answered a request from since on.
func (s *allowance) answered(since uint64, group Group) bool {
	return group.isQuorum(func(member Member) bool { return s.members[member].sequence >= since })
}

// answers are how many members have answered a request from since on, and how long the quickest of them needs
// until it has a token.
func (s *allowance) answers(since uint64) (count int, wait time.Duration) {
	wait = maxDenial
	for _, grant := range s.members {
		if grant.sequence >= since {
			count++
			wait = min(wait, grant.wait)
		}
	}
	return count, wait
}

// want counts a call in the demand.
func (s *allowance) want(now time.Time) {
	s.demand = s.demandNow(now) + 1/demandSpan.Seconds()
	s.demandAt = now
}

// demandNow is the average demand in tokens a second.
func (s *allowance) demandNow(now time.Time) float64 {
	return s.demand * math.Exp(-now.Sub(s.demandAt).Seconds()/demandSpan.Seconds())
}

// ahead is how many tokens the router wants to hold beside those that calls wait for.
func (s *allowance) ahead(now time.Time) uint64 {
	return uint64(min(maxAhead, max(0, math.Ceil(s.demandNow(now)*aheadSpan.Seconds()-1))))
}

// due reports whether the subject belongs into a request: a call waits that was not asked for, or whose answers
// are late; or the router holds few of what it wants to, and did not ask just now.
func (s *allowance) due(now time.Time, group Group) bool {
	if s.waiting > 0 {
		late := now.Sub(s.askedAt) >= askAgain<<min(s.lateAsks, maxLateAsks)
		return late || s.unasked && s.settled(group)
	}
	if now.Before(s.deniedUntil) || now.Sub(s.askedAt) < s.aheadPause {
		return false
	}
	held := uint64(0)
	if usable := s.usable(now, group); usable > s.spent {
		held = usable - s.spent
	}
	return held*lowShare < s.ahead(now)
}

// settled reports whether a quorum has answered the newest request, if there was one.
func (s *allowance) settled(group Group) bool {
	if s.asked == 0 {
		return true
	}
	return s.answered(s.asked, group)
}

// Denied reports whether a claim would be denied now without asking, and how long that lasts.
func (a *Allowances) Denied(now time.Time, name string, group Group) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, found := a.subjects[name]
	if !found || !now.Before(s.deniedUntil) || s.usable(now, group) > s.spent {
		return 0, false
	}
	s.deny(now)
	return s.deniedUntil.Sub(now), true
}

// Due reports whether there is anything to ask for.
func (a *Allowances) Due(now time.Time, group Group) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, s := range a.subjects {
		if s.due(now, group) {
			return true
		}
	}
	return false
}

// Waiting reports whether a call waits for a token.
func (a *Allowances) Waiting() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.waiting > 0
}

// Requests makes the next requests, by member; none if there is nothing to ask for.
func (a *Allowances) Requests(now time.Time, group Group) map[Member]Request {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sequence++
	requests := map[Member]Request{}
	for name, s := range a.subjects {
		if !s.due(now, group) {
			continue
		}
		members := group.preferred(name)
		late := s.waiting > 0 && !s.settled(group)
		if s.askAll || late {
			members = group.members
		}
		s.lateAsks++
		if !late {
			s.lateAsks = 0
		}
		s.pace(now, group)
		want := s.ask(now, a.sequence, members)
		a.counts.wants++
		want.Subject = name
		for _, member := range members {
			request := requests[member]
			request.Router, request.Sequence = a.router, a.sequence
			request.Wants = append(request.Wants, want)
			requests[member] = request
		}
	}
	a.counts.requests += uint64(len(requests))
	return requests
}

// pace doubles the pause between requests ahead when the last one brought nothing, as from members whose
// buckets are low: they keep what is left for calls that wait.
func (s *allowance) pace(now time.Time, group Group) {
	usable := s.usable(now, group)
	s.aheadPause = min(2*s.aheadPause, maxAheadPause)
	if s.waiting > 0 || usable > s.usableAsked {
		s.aheadPause = minDenial
	}
	s.usableAsked = usable
}

// ask makes the want of a request to these members.
func (s *allowance) ask(now time.Time, sequence uint64, members []Member) Want {
	s.askedAt, s.asked, s.askedMembers, s.unasked, s.askAll = now, sequence, len(members), false, false
	s.reported = s.spent
	hold := s.waiting + s.ahead(now)
	s.yield(members, hold)
	for _, member := range members {
		unanswered := append(s.sent[member], sentWant{sequence: sequence, mayHold: s.spent + hold})
		s.sent[member] = slices.Delete(unanswered, 0, max(0, len(unanswered)-maxUnanswered))
	}
	return Want{Limit: s.limit, Spent: s.spent, Debt: uint64(math.Ceil(s.debtNow(now))), Hold: hold, Need: s.waiting}
}

// yield gives up what a request says that the router wants no more, before it is sent: the members may grant
// it to others from then on.
func (s *allowance) yield(members []Member, hold uint64) {
	for _, member := range members {
		grant, found := s.members[member]
		if found && grant.granted > s.spent+hold {
			grant.granted = s.spent + hold
			s.members[member] = grant
		}
	}
}

// Granted takes a member's response to a request that was sent at a moment. One that comes after the answer to a
// newer request is passed over; one that comes while newer requests are unanswered counts for no more than those
// leave the router, since the member may have taken the rest back. It reports whether one of its subjects is to be
// asked for again at once.
func (a *Allowances) Granted(now time.Time, group Group, member Member, sentAt time.Time, request Request, response Response) (due bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(response.Grants) != len(request.Wants) {
		return false
	}
	for i, want := range request.Wants {
		s, found := a.subjects[want.Subject]
		if !found {
			continue
		}
		mayHold, unanswered := s.answerTo(member, request.Sequence)
		if !unanswered {
			continue
		}
		grant := response.Grants[i]
		s.members[member] = memberGrant{sequence: request.Sequence, granted: min(grant.Granted, mayHold), wait: grant.Wait,
			expires: sentAt.Add(BatchTTL - time.Duration(clockDrift*float64(BatchTTL)))}
		due = due || s.due(now, group)
	}
	return due
}

// answerTo takes a request and the older ones off the unanswered ones of a member, and returns what the newer ones
// leave the router; false if the request was answered or is not remembered.
func (s *allowance) answerTo(member Member, sequence uint64) (mayHold uint64, found bool) {
	unanswered := s.sent[member]
	position := slices.IndexFunc(unanswered, func(sent sentWant) bool { return sent.sequence == sequence })
	if position < 0 {
		return 0, false
	}
	mayHold = math.MaxUint64
	for _, newer := range unanswered[position+1:] {
		mayHold = min(mayHold, newer.mayHold)
	}
	s.sent[member] = slices.Delete(unanswered, 0, position+1)
	return mayHold, true
}

// sweep forgets subjects that nobody has spent for a while, whose grants are long over.
func (a *Allowances) sweep(now time.Time) {
	a.sweptAt = now
	for name, s := range a.subjects {
		if s.waiting == 0 && now.Sub(s.demandAt) >= forgetAfter {
			delete(a.subjects, name)
		}
	}
}
