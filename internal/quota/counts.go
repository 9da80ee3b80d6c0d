package quota

import (
	"slices"
	"strings"
	"time"
)

const (
	// MaxCounted is how many subjects are counted one by one; the others are counted together.
	MaxCounted = 32
	// OtherSubjects is the name under which those are counted. No tenant's name is empty.
	OtherSubjects = ""
)

// Counts are how the claims to tokens of a subject ended, since the router started.
type Counts struct {
	Subject string
	// Held tokens were taken from what the router held, Asked ones after it had asked.
	Held, Asked uint64
	// Denied claims found no token left, Unknown ones got no answer of a quorum in time.
	Denied, Unknown uint64
}

// counts are those of all subjects.
type counts struct {
	bySubject map[string]*Counts
	// requests counts messages to members, wants the subjects asked for.
	requests, wants uint64
}

// of finds where a subject is counted.
func (c *counts) of(subject string) *Counts {
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

// Counts lists how claims ended, by subject in order of name, those counted together first.
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

// Traffic is how many requests were made for members, and for how many subjects in sum.
func (a *Allowances) Traffic() (requests, wants uint64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.counts.requests, a.counts.wants
}

// denialQuiet is for how long none of a subject's claims is denied before its denials count as over.
const denialQuiet = 5 * time.Second

// denials are the denials of a subject that come close together.
type denials struct {
	last  time.Time
	count uint64
	// told is set once it was reported that they have begun.
	told bool
}

// DenialChange says that a subject begins to be denied, or that this is over after Count denials.
type DenialChange struct {
	Subject string
	Over    bool
	Count   uint64
}

// deny counts a denial.
func (s *allowance) deny(now time.Time) {
	s.counted.Denied++
	s.denials.count++
	s.denials.last = now
}

// DenialChanges lists what has changed since the last call, in order of name: for each subject no more than a
// beginning and an end in denialQuiet.
func (a *Allowances) DenialChanges(now time.Time) []DenialChange {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var changes []DenialChange
	for name, s := range a.subjects {
		switch {
		case s.denials.count > 0 && !s.denials.told:
			s.denials.told = true
			changes = append(changes, DenialChange{Subject: name, Count: s.denials.count})
		case s.denials.told && now.Sub(s.denials.last) >= denialQuiet:
			changes = append(changes, DenialChange{Subject: name, Over: true, Count: s.denials.count})
			s.denials = denials{}
		}
	}
	slices.SortFunc(changes, func(left, right DenialChange) int { return strings.Compare(left.Subject, right.Subject) })
	return changes
}
