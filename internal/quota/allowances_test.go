package quota

import (
	"fmt"
	"testing"
	"time"
)

// exchange has a router ask once, and every member that is asked answer.
func exchange(now time.Time, a *Allowances, group Group, ledgers map[Member]*Ledger) (requests int) {
	for member, request := range a.Requests(now, group) {
		requests++
		a.Granted(now, group, member, now, request, ledgers[member].Apply(now, request))
	}
	return requests
}

// groupOf makes a group of a size whose ledgers began at a moment.
func groupOf(size int, began time.Time) (Group, map[Member]*Ledger) {
	ledgers := map[Member]*Ledger{}
	var members []Member
	for i := range size {
		member := Member(fmt.Sprint("m", i))
		members = append(members, member)
		ledgers[member] = NewLedger(began)
	}
	return NewGroup(members), ledgers
}

// TestATokenThatWasReportedIsNotGivenBack guards against QUOTA: a token that members were told is spent, and that
// flows into their buckets again, could be spent later by the router that gave it back.
func TestATokenThatWasReportedIsNotGivenBack(t *testing.T) {
	group, ledgers := groupOf(3, noon.Add(-time.Hour))
	limit := Limit{PerSecond: 0.001, Capacity: 1}
	router := NewAllowances("r")
	claim := router.Claim(noon, "a", limit)
	claim.Try(noon, group)
	exchange(noon, router, group, ledgers)
	if verdict := claim.Try(noon, group); verdict != Taken {
		t.Fatalf("verdict %d", verdict)
	}
	router.GiveBack("a")
	if verdict := router.Claim(noon, "a", limit).Try(noon, group); verdict != Taken {
		t.Errorf("a token that nobody was told of is not there again: verdict %d", verdict)
	}
	other := router.Claim(noon, "a", limit)
	if verdict := other.Try(noon, group); verdict != Pending {
		t.Errorf("a second token: verdict %d", verdict)
	}
	exchange(noon, router, group, ledgers)
	router.GiveBack("a")
	if verdict := router.Claim(noon, "a", limit).Try(noon, group); verdict == Taken {
		t.Error("a token that was reported as spent was spent again")
	}
}

// TestAskingAheadInVainIsPaced guards against routers that ask 20 times a second for tokens ahead which a low bucket
// keeps for calls that wait.
func TestAskingAheadInVainIsPaced(t *testing.T) {
	group, ledgers := groupOf(3, noon.Add(-300*time.Millisecond))
	limit := Limit{PerSecond: 10, Capacity: 1000}
	router := NewAllowances("r")
	now, asked := noon, 0
	for range 3000 {
		now = now.Add(time.Millisecond)
		s := router.Claim(now, "a", limit).subject
		s.demand = 8
		if router.Due(now, group) {
			asked++
			exchange(now, router, group, ledgers)
		}
	}
	if asked > 10 {
		t.Errorf("asked %d times in 3 s", asked)
	}
}

// TestSubjectsBeyondTheFirstAreCountedTogether bounds how many metrics there are.
func TestSubjectsBeyondTheFirstAreCountedTogether(t *testing.T) {
	router := NewAllowances("r")
	for i := range 3 * MaxCounted {
		router.Claim(noon, fmt.Sprint("tenant", i), Limit{}).Cancel()
	}
	counts := router.Counts()
	if len(counts) != MaxCounted+1 || counts[0].Subject != OtherSubjects || counts[0].Unknown != 2*MaxCounted {
		t.Errorf("%d counted, first %+v", len(counts), counts[0])
	}
}

// TestDenialsAreToldOnceAndWhenTheyEnd bounds how many lines a tenant over its limit makes.
func TestDenialsAreToldOnceAndWhenTheyEnd(t *testing.T) {
	group, ledgers := groupOf(3, noon)
	router := NewAllowances("r")
	now := noon
	var told []DenialChange
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		claim := router.Claim(now, "a", Limit{})
		for claim.Try(now, group) == Pending {
			exchange(now, router, group, ledgers)
		}
		told = append(told, router.DenialChanges(now)...)
	}
	told = append(told, router.DenialChanges(now.Add(denialQuiet))...)
	if len(told) != 2 || told[0].Over || !told[1].Over || told[1].Count != 200 {
		t.Errorf("%+v", told)
	}
}

// TestADeniedSubjectIsAskedOfAllAtOnce guards against two rounds of requests for each denial of a tenant over its limit.
func TestADeniedSubjectIsAskedOfAllAtOnce(t *testing.T) {
	group, ledgers := groupOf(5, noon)
	router := NewAllowances("r")
	rounds := func(now time.Time) (count int) {
		claim := router.Claim(now, "a", Limit{})
		for claim.Try(now, group) == Pending {
			exchange(now, router, group, ledgers)
			count++
		}
		return count
	}
	first, second := rounds(noon), rounds(noon.Add(maxDenial+100*time.Millisecond))
	if first != 2 {
		t.Errorf("the first denial took %d rounds", first)
	}
	third := rounds(noon.Add(3 * maxDenial))
	if second != 1 || third != 1 {
		t.Errorf("the later denials took %d and %d rounds", second, third)
	}
}

// BenchmarkHeldToken takes a token that the router holds, at a router that serves 84 subjects.
func BenchmarkHeldToken(b *testing.B) {
	group, ledgers := groupOf(5, noon.Add(-time.Hour))
	router := NewAllowances("r")
	limit := Limit{PerSecond: 1e6, Capacity: 1e9}
	for i := range 84 {
		router.Claim(noon, fmt.Sprint("tenant", i), limit).Try(noon, group)
	}
	exchange(noon, router, group, ledgers)
	b.ReportAllocs()
	for b.Loop() {
		claim := router.Claim(noon, "tenant7", limit)
		claim.Try(noon, group)
		claim.Due(noon, group)
	}
}
