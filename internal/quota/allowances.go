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

// Quorum reports whether those members are enough to grant.
type Quorum func(members map[Member]bool) bool

// Group is who grants.
type Group struct {
	Members []Member
	Quorum  Quorum
}

// preferred are the members that routers ask for a subject first: the fewest that are a quorum, the same for
// all routers, so that each of them sees all that is spent.
func (g Group) preferred(subject string) []Member {
	ranked := slices.Clone(g.Members)
	slices.SortFunc(ranked, func(left, right Member) int {
		return cmp.Compare(membership.Weight(subject, string(right)), membership.Weight(subject, string(left)))
	})
	enough := map[Member]bool{}
	for i, member := range ranked {
		enough[member] = true
		if g.Quorum(enough) {
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
}

// allowance is a router's share of one subject.
type allowance struct {
	limit   Limit
	spent   uint64
	members map[Member]memberGrant
	// sent is the newest request that each member was sent, asked the newest of all.
	sent  map[Member]uint64
	asked uint64
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
	// deniedUntil ends the last denial.
	deniedUntil time.Time
}

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
		s = &allowance{members: map[Member]memberGrant{}, sent: map[Member]uint64{}, demandAt: now}
		a.subjects[name] = s
	}
	if !found || s.limit.Revision.before(limit.Revision) {
		s.limit = limit
	}
	s.want(now)
	return &Claim{allowances: a, subject: s}
}

// Try takes a token if the router has one.
func (c *Claim) Try(now time.Time, quorum Quorum) Verdict {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	s := c.subject
	if s.usable(now, quorum) > s.spent {
		s.spent++
		c.endWaiting()
		return Taken
	}
	if c.since == 0 {
		if now.Before(s.deniedUntil) {
			c.wait = s.deniedUntil.Sub(now)
			return Denied
		}
		s.waiting++
		c.askNext()
		return Pending
	}
	wait, answers := s.answers(c.since)
	switch {
	case !quorum(answers):
		return Pending
	case !c.askedAll:
		// A member that has just started has nothing to grant: others may make a quorum that has.
		c.askedAll, s.askAll = true, true
		c.askNext()
		return Pending
	case len(answers) < s.askedMembers && now.Sub(s.askedAt) < askAgain:
		return Pending
	}
	c.wait = wait
	s.deniedUntil = now.Add(min(max(wait, minDenial), maxDenial))
	c.endWaiting()
	return Denied
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
	c.endWaiting()
}

func (c *Claim) endWaiting() {
	if c.since != 0 {
		c.subject.waiting--
		c.since = 0
	}
}

// GiveBack returns a token that was taken for a call that no server was sent.
func (a *Allowances) GiveBack(name string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, found := a.subjects[name]
	if !found {
		return
	}
	for member, grant := range s.members {
		grant.granted++
		s.members[member] = grant
	}
}

// usable is up to how many tokens, counted from the router's start, a quorum lets the router spend.
func (s *allowance) usable(now time.Time, quorum Quorum) uint64 {
	valid := make([]Member, 0, len(s.members))
	for member, grant := range s.members {
		if now.Before(grant.expires) {
			valid = append(valid, member)
		}
	}
	slices.SortFunc(valid, func(left, right Member) int { return cmp.Compare(s.members[right].granted, s.members[left].granted) })
	granting := make(map[Member]bool, len(valid))
	for _, member := range valid {
		granting[member] = true
		if quorum(granting) {
			return s.members[member].granted
		}
	}
	return 0
}

// answers are the members that have answered a request from since on, and how long the quickest of them needs
// until it has a token.
func (s *allowance) answers(since uint64) (time.Duration, map[Member]bool) {
	answering := map[Member]bool{}
	wait := maxDenial
	for member, grant := range s.members {
		if grant.sequence >= since {
			answering[member] = true
			wait = min(wait, grant.wait)
		}
	}
	return wait, answering
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
func (s *allowance) due(now time.Time, quorum Quorum) bool {
	if s.waiting > 0 {
		late := now.Sub(s.askedAt) >= askAgain
		return late || s.unasked && s.settled(quorum)
	}
	if now.Before(s.deniedUntil) || now.Sub(s.askedAt) < minDenial {
		return false
	}
	held := uint64(0)
	if usable := s.usable(now, quorum); usable > s.spent {
		held = usable - s.spent
	}
	return held*lowShare < s.ahead(now)
}

// settled reports whether a quorum has answered the newest request, if there was one.
func (s *allowance) settled(quorum Quorum) bool {
	if s.asked == 0 {
		return true
	}
	_, answers := s.answers(s.asked)
	return quorum(answers)
}

// Denied reports whether a claim would be denied now without asking, and how long that lasts.
func (a *Allowances) Denied(now time.Time, name string, quorum Quorum) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	s, found := a.subjects[name]
	if !found || !now.Before(s.deniedUntil) || s.usable(now, quorum) > s.spent {
		return 0, false
	}
	return s.deniedUntil.Sub(now), true
}

// Due reports whether there is anything to ask for.
func (a *Allowances) Due(now time.Time, quorum Quorum) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, s := range a.subjects {
		if s.due(now, quorum) {
			return true
		}
	}
	return false
}

// Waiting reports whether a call waits for a token.
func (a *Allowances) Waiting() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, s := range a.subjects {
		if s.waiting > 0 {
			return true
		}
	}
	return false
}

// Requests makes the next requests, by member; none if there is nothing to ask for.
func (a *Allowances) Requests(now time.Time, group Group) map[Member]Request {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sequence++
	requests := map[Member]Request{}
	for name, s := range a.subjects {
		if !s.due(now, group.Quorum) {
			continue
		}
		members := group.preferred(name)
		if s.askAll || s.waiting > 0 && !s.settled(group.Quorum) {
			members = group.Members
		}
		want := s.ask(now, a.sequence, members)
		want.Subject = name
		for _, member := range members {
			request := requests[member]
			request.Router, request.Sequence = a.router, a.sequence
			request.Wants = append(request.Wants, want)
			requests[member] = request
		}
	}
	return requests
}

// ask makes the want of a request to these members.
func (s *allowance) ask(now time.Time, sequence uint64, members []Member) Want {
	s.askedAt, s.asked, s.askedMembers, s.unasked, s.askAll = now, sequence, len(members), false, false
	hold := s.waiting + s.ahead(now)
	s.yield(members, hold)
	for _, member := range members {
		s.sent[member] = sequence
	}
	return Want{Limit: s.limit, Spent: s.spent, Hold: hold, Need: s.waiting}
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

// Granted takes a member's response to a request that was sent at a moment. One to an older request than the
// newest that the member was sent is passed over.
func (a *Allowances) Granted(member Member, sentAt time.Time, request Request, response Response) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if len(response.Grants) != len(request.Wants) {
		return
	}
	for i, want := range request.Wants {
		s, found := a.subjects[want.Subject]
		if !found || s.sent[member] != request.Sequence {
			continue
		}
		grant := response.Grants[i]
		s.members[member] = memberGrant{sequence: request.Sequence, granted: grant.Granted, wait: grant.Wait,
			expires: sentAt.Add(BatchTTL - time.Duration(clockDrift*float64(BatchTTL)))}
	}
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
