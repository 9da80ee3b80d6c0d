package quota

import (
	"sort"
	"sync"
	"time"
)

// Ledger records the tokens that one member has granted. It is kept in memory only: a member that starts, or that
// joins the group, does not know of earlier grants and starts with empty buckets, as if all tokens that the
// limits allow had already been granted.
//
// Invariant: the tokens left in a bucket (level) and the tokens that are granted but not reported as spent are
// together at most the limit's capacity. Therefore, of the grants that this member took part in, at most
// PerSecond*t + Capacity tokens are spent in any span of t seconds, however late routers spend their tokens.
type Ledger struct {
	mutex sync.Mutex
	// since is when the ledger started to record grants.
	since time.Time
	// idle is set from a Reset until the next request.
	idle    bool
	buckets map[string]*bucket
	sweptAt time.Time
}

// bucket is the token bucket of one subject.
type bucket struct {
	limit Limit
	// level is the number of tokens that are left as of filledAt. It is negative if a quorum without this
	// member granted more tokens than this member would have.
	level    float64
	filledAt time.Time
	accounts map[string]*routerAccount
	granted  uint64
	refused  uint64
}

// routerAccount records the tokens of one subject that one incarnation of a router was granted and has spent,
// both counted from the start of the router.
type routerAccount struct {
	sequence uint64
	granted  uint64
	spent    uint64
	expires  time.Time
}

// NewLedger returns the ledger of a member that starts now.
func NewLedger(now time.Time) *Ledger {
	l := &Ledger{}
	l.start(now)
	return l
}

// start deletes all buckets and records grants from now on.
func (l *Ledger) start(now time.Time) {
	l.idle, l.since, l.sweptAt, l.buckets = false, now, now, map[string]*bucket{}
}

// Reset makes the ledger start again with empty buckets at the next request. It is called while the member does not
// belong to the group, because the group then grants tokens without this member.
func (l *Ledger) Reset(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.start(now)
	l.idle = true
}

// Apply serves a router's request. The response has no grants if this request or a later one of the router was already
// served.
func (l *Ledger) Apply(now time.Time, request Request) Response {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.idle {
		l.start(now)
	}
	if now.Sub(l.sweptAt) >= BatchTTL {
		l.sweep(now)
	}
	var response Response
	for _, want := range request.Wants {
		grant, current := l.bucket(now, want).serve(now, request, want)
		if !current {
			return Response{}
		}
		response.Grants = append(response.Grants, grant)
	}
	return response
}

// bucket returns the bucket of a want, refilled up to now. A new bucket contains the refill since the ledger started.
func (l *Ledger) bucket(now time.Time, want Want) *bucket {
	b, found := l.buckets[want.Subject]
	if !found {
		b = &bucket{limit: want.Limit, filledAt: l.since, accounts: map[string]*routerAccount{}}
		l.buckets[want.Subject] = b
	}
	b.fill(now)
	b.expireAccounts(now)
	if b.limit.Revision.before(want.Limit.Revision) {
		b.limit = want.Limit
		b.level = min(b.level, b.limit.Capacity-b.outstanding())
	}
	return b
}

// fill adds the tokens that have accrued up to now. Level and outstanding tokens together do not exceed the capacity.
func (b *bucket) fill(now time.Time) {
	if !now.After(b.filledAt) {
		return
	}
	refilled := b.level + now.Sub(b.filledAt).Seconds()*b.limit.PerSecond
	b.level = min(refilled, b.limit.Capacity-b.outstanding())
	b.filledAt = now
}

// outstanding returns how many tokens are granted but not reported as spent.
func (b *bucket) outstanding() float64 {
	var tokens uint64
	for _, account := range b.accounts {
		tokens += account.granted - account.spent
	}
	return float64(tokens)
}

// expireAccounts deletes the expired accounts. Their unspent tokens count as spent, because the router may
// have spent them and stopped before it could report that.
func (b *bucket) expireAccounts(now time.Time) {
	for name, account := range b.accounts {
		if !now.Before(account.expires) {
			delete(b.accounts, name)
		}
	}
}

// serve grants tokens for a router's want. It returns false if this request or a later one of the
// router was already served.
func (b *bucket) serve(now time.Time, request Request, want Want) (Grant, bool) {
	account, found := b.accounts[request.Router]
	if !found {
		account = &routerAccount{granted: want.Spent, spent: want.Spent}
		b.accounts[request.Router] = account
		// The debt lowers a positive level, but not below zero. It does not lower a negative level, which
		// already includes tokens that were spent before this member started.
		b.level = max(min(b.level, 0), b.level-float64(want.Debt))
	}
	if request.Sequence <= account.sequence {
		return Grant{}, false
	}
	account.sequence, account.expires = request.Sequence, now.Add(BatchTTL)
	account.spent = max(account.spent, want.Spent)
	if account.spent > account.granted {
		// A quorum without this member granted these tokens.
		b.level = max(-b.limit.Capacity, b.level-float64(account.spent-account.granted))
		account.granted = account.spent
	}
	unspent := account.granted - account.spent
	if want.Target < unspent {
		returned := unspent - want.Target
		account.granted -= returned
		b.level += float64(returned)
		return Grant{Granted: account.granted}, true
	}
	additional := min(want.Target-unspent, b.grantable(unspent, want.Need))
	account.granted += additional
	b.level -= float64(additional)
	b.granted += additional
	missing := want.Target - unspent - additional
	b.refused += want.Need - min(want.Need, unspent+additional)
	if missing == 0 {
		return Grant{Granted: account.granted}, true
	}
	return Grant{Granted: account.granted, Wait: b.nextToken()}, true
}

// prefetchReserve is the fraction of the capacity that is not granted for prefetching, but only to waiting calls.
const prefetchReserve = 0.5

// grantable returns how many more tokens may be granted to a router that has unspent tokens left and needs
// need tokens for waiting calls. The unspent tokens count towards need.
func (b *bucket) grantable(unspent, need uint64) uint64 {
	prefetchable := uint64(max(0, b.level-prefetchReserve*b.limit.Capacity))
	if unspent >= need {
		return prefetchable
	}
	return max(prefetchable, min(need-unspent, uint64(max(0, b.level))))
}

// nextToken returns the time until the bucket contains at least one token, at most BatchTTL. The time is not positive
// if the bucket already contains one.
func (b *bucket) nextToken() time.Duration {
	if b.limit.PerSecond <= 0 {
		return BatchTTL
	}
	return min(BatchTTL, time.Duration((1-b.level)/b.limit.PerSecond*float64(time.Second)))
}

// sweep deletes the buckets that have no accounts and are full. It keeps such a bucket if a new bucket in
// its place would not be full.
func (l *Ledger) sweep(now time.Time) {
	l.sweptAt = now
	for name, b := range l.buckets {
		b.fill(now)
		b.expireAccounts(now)
		full := b.level >= b.limit.Capacity && now.Sub(l.since).Seconds()*b.limit.PerSecond >= b.limit.Capacity
		if len(b.accounts) == 0 && full {
			delete(l.buckets, name)
		}
	}
}

// Status describes a member's bucket of one subject.
type Status struct {
	Subject string `json:"subject" msgpack:"subject"`
	// PerSecond and Capacity are the values of the limit.
	PerSecond float64 `json:"per_second" msgpack:"per_second"`
	Capacity  float64 `json:"capacity" msgpack:"capacity"`
	// Left is how many tokens can be granted now, and Outstanding is how many unspent tokens routers have.
	Left        float64 `json:"left" msgpack:"left"`
	Outstanding float64 `json:"held" msgpack:"held"`
	// Routers is how many routers requested tokens of the subject within the last BatchTTL.
	Routers int `json:"routers" msgpack:"routers"`
	// Granted counts granted tokens since the bucket was created, and Refused counts tokens that waiting calls needed
	// and that were not granted.
	Granted uint64 `json:"granted" msgpack:"granted"`
	Refused uint64 `json:"refused" msgpack:"refused"`
}

// Statuses returns the status of every subject, sorted by name.
func (l *Ledger) Statuses(now time.Time) []Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	statuses := make([]Status, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.fill(now)
		b.expireAccounts(now)
		statuses = append(statuses, Status{
			Subject:     name,
			PerSecond:   b.limit.PerSecond,
			Capacity:    b.limit.Capacity,
			Left:        b.level,
			Outstanding: b.outstanding(),
			Routers:     len(b.accounts),
			Granted:     b.granted,
			Refused:     b.refused,
		})
	}
	sort.Slice(statuses, func(left, right int) bool { return statuses[left].Subject < statuses[right].Subject })
	return statuses
}
