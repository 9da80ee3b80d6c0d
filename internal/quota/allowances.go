package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// Member is the name of a member of the group.
type Member string

// Group consists of the members that grant tokens: the members of one set, or of two sets while one set
// replaces the other. A quorum is a majority of each set. The zero Group has no quorum.
type Group struct {
	members []Member
	sets    [][]Member
}

// NewGroup returns the group of the given sets. Empty sets are ignored.
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

// Members returns the members of all sets without duplicates.
func (g Group) Members() []Member { return g.members }

// isQuorum reports whether the members for which has returns true form a majority of each set.
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

// maxInlineSetSize is the size of the largest set for which quorumValue does not allocate memory.
const maxInlineSetSize = 9

// quorumValue returns the highest value such that a quorum of members has this value or a higher one.
func (g Group) quorumValue(valueOf func(Member) uint64) uint64 {
	if len(g.sets) == 0 {
		return 0
	}
	lowest := uint64(math.MaxUint64)
	for _, set := range g.sets {
		var buffer [maxInlineSetSize]uint64
		values := buffer[:0]
		for _, member := range set {
			values = append(values, valueOf(member))
		}
		slices.Sort(values)
		lowest = min(lowest, values[(len(values)-1)/2])
	}
	return lowest
}

// preferred returns the members from which routers request tokens of a subject first. They are a minimal quorum that
// is the same for all routers, so that each of these members knows of all spent tokens.
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

// Parameters of a router's requests.
const (
	// demandSpan is the time constant of the average of a router's demand.
	demandSpan = time.Second
	// prefetchSpan is the time for which prefetched tokens last at the router's current demand.
	prefetchSpan = 3 * time.Second
	// refillDivisor defines when a router requests more tokens: once it has fewer than its prefetch target divided by
	// refillDivisor.
	refillDivisor = 4
	// maxPrefetch is the maximum number of tokens of one subject that a router prefetches.
	maxPrefetch = 64
	// minDenial is the minimum time for which further claims are denied without a new request after a denial, and the
	// shortest interval between requests for prefetching. Tokens that accrue during a denial are not lost, because they
	// stay in the members' buckets.
	minDenial = 50 * time.Millisecond
	// responseTimeout is how long a router waits for the responses to a request. After that it sends a request to all members.
	responseTimeout = 40 * time.Millisecond
	// maxDenial is the maximum time for which further claims are denied without a new request after a denial.
	maxDenial = 250 * time.Millisecond
	// maxTimeoutDoublings bounds how often responseTimeout is doubled while responses are late.
	maxTimeoutDoublings = 2
	// maxPrefetchInterval is the maximum interval between two requests for prefetching if the first one yielded no tokens.
	maxPrefetchInterval = 800 * time.Millisecond
	// idleTimeout is how long a subject without claims is kept.
	idleTimeout = 30 * time.Second
)

// Allowances holds the tokens that one router may spend: for each subject the tokens that a quorum of members has
// granted and that the router has not spent.
type Allowances struct {
	mutex    sync.Mutex
	router   string
	sequence uint64
	subjects map[string]*allowance
	sweptAt  time.Time
	// waiting is how many calls are waiting for tokens.
	waiting uint64
	counts  counts
}

// allowance holds the tokens of one subject that a router may spend, and the state of its requests for more.
type allowance struct {
	limit Limit
	// spent is the number of tokens that the router has spent since its start.
	spent uint64
	// reported is the value of spent in the newest request.
	reported uint64
	members  map[Member]memberGrant
	// debt is the number of tokens by which the router's own spending exceeds the refill of the bucket, as of debtAt.
	debt   float64
	debtAt time.Time
	// pendingRequests holds the unanswered requests by member, in ascending order of their sequence numbers.
	// newestRequest is the sequence number of the newest request to any member.
	pendingRequests map[Member][]pendingRequest
	newestRequest   uint64
	// lateRequests counts consecutive requests that were sent because the responses to the previous one were late.
	lateRequests int
	// requestedMembers is how many members the newest request was sent to, and requestAll is set if the next request
	// is to be sent to all members.
	requestedMembers int
	requestAll       bool
	// demand is the average number of claimed tokens per second, as of demandAt.
	demand   float64
	demandAt time.Time
	// waiting is how many calls are waiting for tokens of the subject.
	waiting uint64
	// unrequested is set while a call is waiting for which no request was created yet.
	unrequested bool
	// requestedAt is when the newest request with the subject was created.
	requestedAt time.Time
	// prefetchInterval is the minimum interval between two requests for prefetching, and usableAtRequest is how many
	// tokens were usable at the last request.
	prefetchInterval time.Duration
	usableAtRequest  uint64
	// deniedUntil is the time until which claims are denied without a new request.
	deniedUntil time.Time
	denials     denials
	// claimCounts counts the results of the claims.
	claimCounts *Counts
}

// pendingRequest is a request for a subject that a member has not answered yet.
type pendingRequest struct {
	sequence uint64
	// maxGranted is the highest grant, counted from the router's start, that the request lets the router keep.
	maxGranted uint64
}

// maxPendingRequests is the maximum number of unanswered requests to one member. Responses to older requests are ignored.
const maxPendingRequests = 8

// memberGrant is the newest grant of one member.
type memberGrant struct {
	// sequence is the number of the request that the grant answers.
	sequence uint64
	granted  uint64
	expires  time.Time
	wait     time.Duration
}

// NewAllowances returns the allowances of one incarnation of a router.
func NewAllowances(router string) *Allowances {
	return &Allowances{router: router, subjects: map[string]*allowance{}}
}

// Result is the result of an attempt to take the token of a claim.
type Result int

// The results of Poll.
const (
	// Pending means that no quorum has responded yet.
	Pending Result = iota
	// Taken means that the token was taken and counts as spent.
	Taken
	// Denied means that no token is left.
	Denied
)

// Claim is one call's claim to a token of a subject. It ends when Poll returns Taken or Denied, or with Cancel.
type Claim struct {
	allowances *Allowances
	subject    *allowance
	// firstSequence is the number of the first request whose responses count for the claim; zero if the claim has not
	// needed a request yet.
	firstSequence uint64
	// requestedAll is set if the request with the number firstSequence is sent to all members.
	requestedAll bool
	// wait is the minimum time until there may be a token, after a denial.
	wait time.Duration
}

// Claim starts a claim to a token of the named subject.
func (a *Allowances) Claim(now time.Time, name string, limit Limit) *Claim {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if now.Sub(a.sweptAt) >= idleTimeout {
		a.sweep(now)
	}
	s, found := a.subjects[name]
	if !found {
		s = &allowance{
			members:          map[Member]memberGrant{},
			pendingRequests:  map[Member][]pendingRequest{},
			demandAt:         now,
			prefetchInterval: minDenial,
			claimCounts:      a.counts.forSubject(name),
		}
		a.subjects[name] = s
	}
	if !found || s.limit.Revision.before(limit.Revision) {
		s.limit = limit
	}
	s.recordDemand(now)
	return &Claim{allowances: a, subject: s}
}

// Poll takes a token if the router has one. Otherwise it returns Denied if the members have no token left or the time
// deniedUntil has not passed, or Pending if the claim has to wait for responses of members.
func (c *Claim) Poll(now time.Time, group Group) Result {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	s := c.subject
	if s.usable(now, group) > s.spent {
		return c.take(now)
	}
	if c.firstSequence == 0 {
		if now.Before(s.deniedUntil) {
			return c.deny(now, s.deniedUntil.Sub(now))
		}
		c.waitForAnswers(now)
		return Pending
	}
	if !s.answered(c.firstSequence, group) {
		return Pending
	}
	answers, wait := s.answers(c.firstSequence)
	switch {
	case !c.requestedAll && s.requestedMembers < len(group.members):
		// A preferred member that has just started has no tokens to grant: another quorum may have some.
		c.requestedAll, s.requestAll = true, true
		c.requireNextRequest()
		return Pending
	case answers < s.requestedMembers && now.Sub(s.requestedAt) < responseTimeout:
		return Pending
	}
	wait = min(max(wait, minDenial), maxDenial)
	s.deniedUntil = now.Add(wait)
	return c.deny(now, wait)
}

// take spends a token and ends the claim.
func (c *Claim) take(now time.Time) Result {
	c.subject.spend(now)
	if c.firstSequence == 0 {
		c.subject.claimCounts.Prefetched++
	} else {
		c.subject.claimCounts.Requested++
	}
	c.endWaiting()
	return Taken
}

// deny ends the claim without a token.
func (c *Claim) deny(now time.Time, wait time.Duration) Result {
	c.wait = wait
	c.subject.deny(now)
	c.endWaiting()
	return Denied
}

// waitForAnswers counts the claim as waiting and makes it wait for the responses to the next request. If less than
// maxDenial has passed since deniedUntil, that request is sent to all members at once, because the preferred members
// would probably deny the claim again.
func (c *Claim) waitForAnswers(now time.Time) {
	c.subject.waiting++
	c.allowances.waiting++
	if now.Sub(c.subject.deniedUntil) < maxDenial {
		c.requestedAll, c.subject.requestAll = true, true
	}
	c.requireNextRequest()
}

// Due reports whether tokens of the claim's subject are to be requested.
func (c *Claim) Due(now time.Time, group Group) bool {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	return c.subject.due(now, group)
}

// requireNextRequest makes the claim wait for the responses to the next request.
func (c *Claim) requireNextRequest() {
	c.firstSequence = c.allowances.sequence + 1
	c.subject.unrequested = true
}

// Wait returns the minimum time until there may be a token, after a denial.
func (c *Claim) Wait() time.Duration { return c.wait }

// Cancel ends a claim whose call has stopped waiting.
func (c *Claim) Cancel() {
	c.allowances.mutex.Lock()
	defer c.allowances.mutex.Unlock()
	c.subject.claimCounts.Unknown++
	c.endWaiting()
}

// endWaiting removes the claim from the counts of waiting calls.
func (c *Claim) endWaiting() {
	if c.firstSequence != 0 {
		c.subject.waiting--
		c.allowances.waiting--
		c.firstSequence = 0
	}
}

// Refund returns a token that was taken for a call that was not sent to any server. A token that was already reported to
// members as spent stays spent, because the members may have granted it again.
func (a *Allowances) Refund(name string) {
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

// debtNow returns the debt as of now.
func (s *allowance) debtNow(now time.Time) float64 {
	return max(0, s.debt-now.Sub(s.debtAt).Seconds()*s.limit.PerSecond)
}

// usable returns the total number of tokens, counted from the router's start, that a quorum allows the router to spend.
func (s *allowance) usable(now time.Time, group Group) uint64 {
	return group.quorumValue(func(member Member) uint64 {
		if grant, found := s.members[member]; found && now.Before(grant.expires) {
			return grant.granted
		}
		return 0
	})
}

// answered reports whether a quorum has answered the request with the number minSequence or a later request.
func (s *allowance) answered(minSequence uint64, group Group) bool {
	return group.isQuorum(func(member Member) bool { return s.members[member].sequence >= minSequence })
}

// answers returns how many members have answered the request with the number minSequence or a later request, and the
// shortest time until one of these members has a token, at most maxDenial.
func (s *allowance) answers(minSequence uint64) (count int, wait time.Duration) {
	wait = maxDenial
	for _, grant := range s.members {
		if grant.sequence >= minSequence {
			count++
			wait = min(wait, grant.wait)
		}
	}
	return count, wait
}

// recordDemand adds a claim to the demand.
func (s *allowance) recordDemand(now time.Time) {
	s.demand = s.demandNow(now) + 1/demandSpan.Seconds()
	s.demandAt = now
}

// demandNow returns the average demand in tokens per second as of now.
func (s *allowance) demandNow(now time.Time) float64 {
	return s.demand * math.Exp(-now.Sub(s.demandAt).Seconds()/demandSpan.Seconds())
}

// prefetchTarget returns how many tokens the router wants to have in addition to those that calls are waiting for.
func (s *allowance) prefetchTarget(now time.Time) uint64 {
	return uint64(min(maxPrefetch, max(0, math.Ceil(s.demandNow(now)*prefetchSpan.Seconds()-1))))
}

// due reports whether tokens of the subject are to be requested. While a call is waiting, it returns true if the
// responses are late, or if no request was created for the call yet and the newest request was answered. Otherwise
// it returns true if the router has few tokens left, the subject is not denied at present, and no request was
// created within prefetchInterval.
func (s *allowance) due(now time.Time, group Group) bool {
	if s.waiting > 0 {
		late := now.Sub(s.requestedAt) >= responseTimeout<<min(s.lateRequests, maxTimeoutDoublings)
		return late || s.unrequested && s.newestAnswered(group)
	}
	if now.Before(s.deniedUntil) || now.Sub(s.requestedAt) < s.prefetchInterval {
		return false
	}
	unspent := uint64(0)
	if usable := s.usable(now, group); usable > s.spent {
		unspent = usable - s.spent
	}
	return unspent*refillDivisor < s.prefetchTarget(now)
}

// newestAnswered reports whether a quorum has answered the newest request, or there was no request yet.
func (s *allowance) newestAnswered(group Group) bool {
	if s.newestRequest == 0 {
		return true
	}
	return s.answered(s.newestRequest, group)
}

// Denied reports whether a claim would be denied now without a request to members, and for how long. If so, it counts
// a denied claim.
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

// Due reports whether tokens of any subject are to be requested.
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

// Waiting reports whether a call is waiting for a token.
func (a *Allowances) Waiting() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.waiting > 0
}

// Requests creates the requests that are due and returns them by member. The result is empty if no tokens are to be
// requested.
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
		late := s.waiting > 0 && !s.newestAnswered(group)
		if s.requestAll || late {
			members = group.members
		}
		s.lateRequests++
		if !late {
			s.lateRequests = 0
		}
		s.adjustPrefetchInterval(now, group)
		want := s.newWant(now, a.sequence, members)
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

// adjustPrefetchInterval doubles the interval between requests for prefetching, up to maxPrefetchInterval, if the last request
// yielded no tokens. That happens if the members' buckets are low, because members reserve the remaining tokens for waiting
// calls. If the last request yielded tokens or a call is waiting, the interval is reset to minDenial.
func (s *allowance) adjustPrefetchInterval(now time.Time, group Group) {
	usable := s.usable(now, group)
	s.prefetchInterval = min(2*s.prefetchInterval, maxPrefetchInterval)
	if s.waiting > 0 || usable > s.usableAtRequest {
		s.prefetchInterval = minDenial
	}
	s.usableAtRequest = usable
}

// newWant returns the want for a request to the given members. It lowers the grants that exceed the request's target (see
// relinquish) and records the request as pending.
func (s *allowance) newWant(now time.Time, sequence uint64, members []Member) Want {
	s.requestedAt, s.newestRequest, s.requestedMembers, s.unrequested, s.requestAll = now, sequence, len(members), false, false
	s.reported = s.spent
	target := s.waiting + s.prefetchTarget(now)
	s.relinquish(members, target)
	for _, member := range members {
		pending := append(s.pendingRequests[member], pendingRequest{sequence: sequence, maxGranted: s.spent + target})
		s.pendingRequests[member] = slices.Delete(pending, 0, max(0, len(pending)-maxPendingRequests))
	}
	return Want{Limit: s.limit, Spent: s.spent, Debt: uint64(math.Ceil(s.debtNow(now))), Target: target, Need: s.waiting}
}

// relinquish lowers the members' grants to the target of a request before the request is sent, because the members may grant
// the surplus tokens to other routers as soon as they receive the request.
func (s *allowance) relinquish(members []Member, target uint64) {
	for _, member := range members {
		grant, found := s.members[member]
		if found && grant.granted > s.spent+target {
			grant.granted = s.spent + target
			s.members[member] = grant
		}
	}
}

// HandleResponse processes a member's response to a request that was sent at sentAt. It ignores a response that arrives
// after the response to a newer request. While newer requests are unanswered, the grant is limited to the tokens that
// these requests let the router keep, because the member may have taken back the other tokens. HandleResponse reports whether
// tokens of one of the request's subjects are to be requested again at once.
func (a *Allowances) HandleResponse(
	now time.Time, group Group, member Member, sentAt time.Time, request Request, response Response,
) (due bool) {
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
		maxGranted, pending := s.completeRequest(member, request.Sequence)
		if !pending {
			continue
		}
		grant := response.Grants[i]
		s.members[member] = memberGrant{sequence: request.Sequence, granted: min(grant.Granted, maxGranted), wait: grant.Wait,
			expires: sentAt.Add(BatchTTL - time.Duration(clockDrift*float64(BatchTTL)))}
		due = due || s.due(now, group)
	}
	return due
}

// completeRequest removes a request and all older ones from the pending requests of a member. It returns the highest grant that
// the newer requests let the router keep, or false if the request is not pending.
func (s *allowance) completeRequest(member Member, sequence uint64) (maxGranted uint64, found bool) {
	pending := s.pendingRequests[member]
	position := slices.IndexFunc(pending, func(sent pendingRequest) bool { return sent.sequence == sequence })
	if position < 0 {
		return 0, false
	}
	maxGranted = math.MaxUint64
	for _, newer := range pending[position+1:] {
		maxGranted = min(maxGranted, newer.maxGranted)
	}
	s.pendingRequests[member] = slices.Delete(pending, 0, position+1)
	return maxGranted, true
}

// sweep deletes the subjects that have had no claim for idleTimeout. Their grants have expired by then.
func (a *Allowances) sweep(now time.Time) {
	a.sweptAt = now
	for name, s := range a.subjects {
		if s.waiting == 0 && now.Sub(s.demandAt) >= idleTimeout {
			delete(a.subjects, name)
		}
	}
}
