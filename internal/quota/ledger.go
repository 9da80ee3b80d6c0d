package quota

import (
	"sort"
	"sync"
	"time"
)

// Ledger is one member's count of what it granted. It is kept in memory: a member that starts, or that
// joins the group, has granted nothing it knows of and begins with empty buckets, as if its predecessor
// had granted all that the limits allowed.
//
// Invariant: the tokens that are left of a subject (level) and those granted and not reported as spent are
// together no more than the limit's capacity. So what is spent in any span of t seconds of grants that this
// member took part in is at most PerSecond*t + Capacity, however late routers spend what they hold.
type Ledger struct {
	mutex sync.Mutex
	since time.Time
	// idle is set from a Reset on until the next request.
	idle     bool
	subjects map[string]*subject
	sweptAt  time.Time
}

// subject is the bucket of one limit.
type subject struct {
	limit Limit
	// level is how many tokens are left at the moment filledAt; below zero when others granted what this
	// member had not.
	level    float64
	filledAt time.Time
	holders  map[string]*holder
	granted  uint64
	refused  uint64
}

// holder is what one incarnation of a router has of a subject. Granted and spent count from its start.
type holder struct {
	sequence uint64
	granted  uint64
	spent    uint64
	expires  time.Time
}

// NewLedger makes the ledger of a member that begins to count now.
func NewLedger(now time.Time) *Ledger {
	l := &Ledger{}
	l.begin(now)
	return l
}

// begin begins to count.
func (l *Ledger) begin(now time.Time) {
	l.idle, l.since, l.sweptAt, l.subjects = false, now, now, map[string]*subject{}
}

// Reset has the member count anew from the next request on: it is no part of the group, which grants without it.
func (l *Ledger) Reset(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.begin(now)
	l.idle = true
}

// Apply serves a request.
func (l *Ledger) Apply(now time.Time, request Request) Response {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.idle {
		l.begin(now)
	}
	if now.Sub(l.sweptAt) >= BatchTTL {
		l.sweep(now)
	}
	var response Response
	for _, want := range request.Wants {
		grant, current := l.subject(now, want).serve(now, request, want)
		if !current {
			return Response{}
		}
		response.Grants = append(response.Grants, grant)
	}
	return response
}

// subject finds the bucket of a want, filled up to now. A new one has what has flowed in since the ledger began.
func (l *Ledger) subject(now time.Time, want Want) *subject {
	s, found := l.subjects[want.Subject]
	if !found {
		s = &subject{limit: want.Limit, filledAt: l.since, holders: map[string]*holder{}}
		l.subjects[want.Subject] = s
	}
	s.fill(now)
	s.lapse(now)
	if s.limit.Revision.before(want.Limit.Revision) {
		s.limit = want.Limit
		s.level = min(s.level, s.limit.Capacity-s.outstanding())
	}
	return s
}

// fill lets tokens flow in up to now, no more than the capacity leaves room for beside what is outstanding.
func (s *subject) fill(now time.Time) {
	if !now.After(s.filledAt) {
		return
	}
	flowed := s.level + now.Sub(s.filledAt).Seconds()*s.limit.PerSecond
	s.level = min(flowed, s.limit.Capacity-s.outstanding())
	s.filledAt = now
}

// outstanding is how many tokens are granted and not reported as spent.
func (s *subject) outstanding() float64 {
	var tokens uint64
	for _, h := range s.holders {
		tokens += h.granted - h.spent
	}
	return float64(tokens)
}

// lapse forgets the holders whose time is over. What they held counts as spent: they may have spent it and
// gone before they could say so.
func (s *subject) lapse(now time.Time) {
	for name, h := range s.holders {
		if !now.Before(h.expires) {
			delete(s.holders, name)
		}
	}
}

// serve serves a router's want; it returns false for a request that was overtaken by a later one.
func (s *subject) serve(now time.Time, request Request, want Want) (Grant, bool) {
	h, found := s.holders[request.Router]
	if !found {
		h = &holder{granted: want.Spent, spent: want.Spent}
		s.holders[request.Router] = h
		// A bucket below zero owes already what was spent before the member began.
		s.level = max(min(s.level, 0), s.level-float64(want.Debt))
	}
	if request.Sequence <= h.sequence {
		return Grant{}, false
	}
	h.sequence, h.expires = request.Sequence, now.Add(BatchTTL)
	h.spent = max(h.spent, want.Spent)
	if h.spent > h.granted {
		// A quorum without this member granted it.
		s.level = max(-s.limit.Capacity, s.level-float64(h.spent-h.granted))
		h.granted = h.spent
	}
	held := h.granted - h.spent
	if want.Hold < held {
		returned := held - want.Hold
		h.granted -= returned
		s.level += float64(returned)
		return Grant{Granted: h.granted}, true
	}
	more := min(want.Hold-held, s.grantable(held, want.Need))
	h.granted += more
	s.level -= float64(more)
	s.granted += more
	missing := want.Hold - held - more
	s.refused += want.Need - min(want.Need, held+more)
	if missing == 0 {
		return Grant{Granted: h.granted}, true
	}
	return Grant{Granted: h.granted, Wait: s.nextToken()}, true
}

// reserve is the part of the capacity of which nothing is granted ahead: it is for calls that wait.
const reserve = 0.5

// grantable is how many tokens a router that has held may get, of which it needs some at once.
func (s *subject) grantable(held, need uint64) uint64 {
	ahead := uint64(max(0, s.level-reserve*s.limit.Capacity))
	if held >= need {
		return ahead
	}
	return max(ahead, min(need-held, uint64(max(0, s.level))))
}

// nextToken is how long it takes until a whole token is there.
func (s *subject) nextToken() time.Duration {
	if s.limit.PerSecond <= 0 {
		return BatchTTL
	}
	return min(BatchTTL, time.Duration((1-s.level)/s.limit.PerSecond*float64(time.Second)))
}

// sweep forgets subjects that nobody has asked for until their bucket was full again.
func (l *Ledger) sweep(now time.Time) {
	l.sweptAt = now
	for name, s := range l.subjects {
		s.fill(now)
		s.lapse(now)
		full := s.level >= s.limit.Capacity && now.Sub(l.since).Seconds()*s.limit.PerSecond >= s.limit.Capacity
		if len(s.holders) == 0 && full {
			delete(l.subjects, name)
		}
	}
}

// Status is what a member knows of one subject.
type Status struct {
	Subject string `json:"subject" msgpack:"subject"`
	// PerSecond and Capacity are those of the limit.
	PerSecond float64 `json:"per_second" msgpack:"per_second"`
	Capacity  float64 `json:"capacity" msgpack:"capacity"`
	// Left are tokens that can be granted now, Held those that routers hold unspent.
	Left float64 `json:"left" msgpack:"left"`
	Held float64 `json:"held" msgpack:"held"`
	// Routers is how many routers hold or asked lately.
	Routers int `json:"routers" msgpack:"routers"`
	// Granted counts tokens, and Refused those that calls waited for in vain, since the member began to count the subject.
	Granted uint64 `json:"granted" msgpack:"granted"`
	Refused uint64 `json:"refused" msgpack:"refused"`
}

// Statuses lists the subjects, in order of name.
func (l *Ledger) Statuses(now time.Time) []Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	statuses := make([]Status, 0, len(l.subjects))
	for name, s := range l.subjects {
		s.fill(now)
		s.lapse(now)
		statuses = append(statuses, Status{Subject: name, PerSecond: s.limit.PerSecond, Capacity: s.limit.Capacity, Left: s.level,
			Held: s.outstanding(), Routers: len(s.holders), Granted: s.granted, Refused: s.refused})
	}
	sort.Slice(statuses, func(left, right int) bool { return statuses[left].Subject < statuses[right].Subject })
	return statuses
}
