package quota

import (
	"slices"
	"strings"
	"time"
)

const (
	// MaxCounted is how many subjects are counted individually; the others are counted together.
	MaxCounted = 32
	// OtherSubjects is the name under which the other subjects are counted. It cannot be the name of a tenant,
	// because no tenant's name is empty.
	OtherSubjects = ""
)

// Counts counts the results of the claims to tokens of one subject since the router started.
type Counts struct {
	Subject string
	// Prefetched counts claims that took a token that the router already had, and Requested counts claims that took a
	// token only after a request to members.
	Prefetched, Requested uint64
	// Denied counts claims for which no token was left, and Unknown counts claims that were cancelled because no
	// quorum responded in time.
	Denied, Unknown uint64
}

// counts holds the counts of all subjects and of the traffic to members.
type counts struct {
	bySubject map[string]*Counts
	// requests counts the messages to members, and wants counts the subjects for which tokens were requested.
	requests, wants uint64
}

// forSubject returns the counts of a subject, or those of OtherSubjects if MaxCounted subjects are already
// counted individually.
func (c *counts) forSubject(subject string) *Counts {
	if c.bySubject == nil {
		c.bySubject = map[string]*Counts{OtherSubjects: {Subject: OtherSubjects}}
	}
	if counted, found := c.bySubject[subject]; found {
		return counted
	}
	if len(c.bySubject) > MaxCounted {
		return c.bySubject[OtherSubjects]
	}
	counted := &Counts{Subject: subject}
	c.bySubject[subject] = counted
	return counted
}

// Counts returns the counts of all subjects, sorted by name; the counts of OtherSubjects come first.
func (a *Allowances) Counts() []Counts {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	list := make([]Counts, 0, len(a.counts.bySubject))
	for _, counted := range a.counts.bySubject {
		list = append(list, *counted)
	}
	slices.SortFunc(list, func(left, right Counts) int { return strings.Compare(left.Subject, right.Subject) })
	return list
}

// RequestCounts returns how many requests to members were created, and for how many subjects altogether.
func (a *Allowances) RequestCounts() (requests, wants uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counts.requests, a.counts.wants
}

// denialEndDelay is the time without a denied claim after which a series of denials counts as over.
const denialEndDelay = 5 * time.Second

// denials is a series of denials of one subject. A series ends after denialEndDelay without a denial.
type denials struct {
	last  time.Time
	count uint64
	// reported is set once the start of the series was reported.
	reported bool
}

// DenialChange reports that a series of denials of a subject has started or, if Over is set, has ended.
type DenialChange struct {
	Subject string
	Over    bool
	// Count is the number of denials in the series so far.
	Count uint64
}

// deny counts a denied claim.
func (s *allowance) deny(now time.Time) {
	s.claimCounts.Denied++
	s.denials.count++
	s.denials.last = now
}

// DenialChanges returns the changes since the last call, sorted by subject. For each subject it reports at most one
// start and one end per denialEndDelay, so that a tenant over its limit does not flood the log.
func (a *Allowances) DenialChanges(now time.Time) []DenialChange {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var changes []DenialChange
	for name, s := range a.subjects {
		switch {
		case s.denials.count > 0 && !s.denials.reported:
			s.denials.reported = true
			changes = append(changes, DenialChange{Subject: name, Count: s.denials.count})
		case s.denials.reported && now.Sub(s.denials.last) >= denialEndDelay:
			changes = append(changes, DenialChange{Subject: name, Over: true, Count: s.denials.count})
			s.denials = denials{}
		}
	}
	slices.SortFunc(changes, func(left, right DenialChange) int { return strings.Compare(left.Subject, right.Subject) })
	return changes
}
