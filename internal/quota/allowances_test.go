package quota

import (
	"fmt"
	"testing"
	"time"
)

// exchange sends a router's next requests to the members and delivers their responses. It returns the number of
// requests.
func exchange(now time.Time, a *Allowances, group Group, ledgers map[Member]*Ledger) (requests int) {
	for member, request := range a.Requests(now, group) {
		requests++
		a.HandleResponse(now, group, member, now, request, ledgers[member].Apply(now, request))
	}
	return requests
}

// newTestGroup returns a group of the given size whose ledgers started at the given time.
func newTestGroup(size int, startedAt time.Time) (Group, map[Member]*Ledger) {
	ledgers := map[Member]*Ledger{}
	var members []Member
	for i := range size {
		member := Member(fmt.Sprint("m", i))
		members = append(members, member)
		ledgers[member] = NewLedger(startedAt)
	}
	return NewGroup(members), ledgers
}

// TestATokenThatWasReportedIsNotGivenBack guards against routers that together exceed a limit: once a token was
// reported as spent, the members may grant it again, so the router that spent it must not reuse it after a
// refund.
func TestATokenThatWasReportedIsNotGivenBack(t *testing.T) {
	group, ledgers := newTestGroup(3, noon.Add(-time.Hour))
	limit := Limit{PerSecond: 0.001, Capacity: 1}
	router := NewAllowances("r")
	claim := router.Claim(noon, "a", limit)
	claim.Poll(noon, group)
	exchange(noon, router, group, ledgers)
	if result := claim.Poll(noon, group); result != Taken {
		t.Fatalf("first claim: got result %d, want Taken", result)
	}
	router.Refund("a")
	if result := router.Claim(noon, "a", limit).Poll(noon, group); result != Taken {
		t.Errorf("claim after the refund of an unreported token: got result %d, want Taken", result)
	}
	other := router.Claim(noon, "a", limit)
	if result := other.Poll(noon, group); result != Pending {
		t.Errorf("claim to a second token: got result %d, want Pending", result)
	}
	exchange(noon, router, group, ledgers)
	router.Refund("a")
	if result := router.Claim(noon, "a", limit).Poll(noon, group); result == Taken {
		t.Error("claim after the refund of a reported token: got Taken, want no token")
	}
}

// TestFailedPrefetchingBacksOff guards against routers that send 20 requests per second for prefetching while the
// members' buckets are low. Members then grant no tokens for prefetching, because they reserve the remaining
// tokens for waiting calls.
func TestFailedPrefetchingBacksOff(t *testing.T) {
	group, ledgers := newTestGroup(3, noon.Add(-300*time.Millisecond))
	limit := Limit{PerSecond: 10, Capacity: 1000}
	router := NewAllowances("r")
	now, exchanges := noon, 0
	for range 3000 {
		now = now.Add(time.Millisecond)
		s := router.Claim(now, "a", limit).subject
		s.demand = 8
		if router.Due(now, group) {
			exchanges++
			exchange(now, router, group, ledgers)
		}
	}
	if exchanges > 10 {
		t.Errorf("got %d exchanges in 3 s, want at most 10", exchanges)
	}
}

// TestSubjectsBeyondMaxCountedAreCountedTogether checks that the number of metrics is bounded:
// subjects beyond MaxCounted are counted together as OtherSubjects.
func TestSubjectsBeyondMaxCountedAreCountedTogether(t *testing.T) {
	router := NewAllowances("r")
	for i := range 3 * MaxCounted {
		router.Claim(noon, fmt.Sprint("tenant", i), Limit{}).Cancel()
	}
	counts := router.Counts()
	if len(counts) != MaxCounted+1 || counts[0].Subject != OtherSubjects || counts[0].Unknown != 2*MaxCounted {
		t.Errorf("got %d counts, the first %+v, want %d, the first with %d unknown claims of other subjects",
			len(counts), counts[0], MaxCounted+1, 2*MaxCounted)
	}
}

// TestDenialsAreReportedAtStartAndEnd checks that a tenant over its limit does not flood the log: a series of denials is
// reported once at its start and once at its end.
func TestDenialsAreReportedAtStartAndEnd(t *testing.T) {
	group, ledgers := newTestGroup(3, noon)
	router := NewAllowances("r")
	now := noon
	var changes []DenialChange
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		claim := router.Claim(now, "a", Limit{})
		for claim.Poll(now, group) == Pending {
			exchange(now, router, group, ledgers)
		}
		changes = append(changes, router.DenialChanges(now)...)
	}
	changes = append(changes, router.DenialChanges(now.Add(denialEndDelay))...)
	if len(changes) != 2 || changes[0].Over || !changes[1].Over || changes[1].Count != 200 {
		t.Errorf("got changes %+v, want a start and an end after 200 denials", changes)
	}
}

// TestRecentlyDeniedSubjectIsRequestedFromAllMembers guards against two exchanges for each denied claim of a tenant
// over its limit, the first with the preferred members and the second with all members. Only the first denial may
// need both.
func TestRecentlyDeniedSubjectIsRequestedFromAllMembers(t *testing.T) {
	group, ledgers := newTestGroup(5, noon)
	router := NewAllowances("r")
	exchangesUntilDenied := func(now time.Time) (count int) {
		claim := router.Claim(now, "a", Limit{})
		for claim.Poll(now, group) == Pending {
			exchange(now, router, group, ledgers)
			count++
		}
		return count
	}
	first, second := exchangesUntilDenied(noon), exchangesUntilDenied(noon.Add(maxDenial+100*time.Millisecond))
	if first != 2 {
		t.Errorf("the first denial took %d exchanges, want 2", first)
	}
	third := exchangesUntilDenied(noon.Add(3 * maxDenial))
	if second != 1 || third != 1 {
		t.Errorf("the later denials took %d and %d exchanges, want 1 each", second, third)
	}
}

// BenchmarkPrefetchedToken takes prefetched tokens at a router that serves 84 subjects.
func BenchmarkPrefetchedToken(b *testing.B) {
	group, ledgers := newTestGroup(5, noon.Add(-time.Hour))
	router := NewAllowances("r")
	limit := Limit{PerSecond: 1e6, Capacity: 1e9}
	for i := range 84 {
		router.Claim(noon, fmt.Sprint("tenant", i), limit).Poll(noon, group)
	}
	exchange(noon, router, group, ledgers)
	b.ReportAllocs()
	for b.Loop() {
		claim := router.Claim(noon, "tenant7", limit)
		claim.Poll(noon, group)
		claim.Due(noon, group)
	}
}
