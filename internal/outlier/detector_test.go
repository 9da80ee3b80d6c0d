package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// router returns one of nine routers in three zones.
func router(number int) Reporter {
	return Reporter{Name: fmt.Sprint("router-", number), Zone: []string{"north", "south", "west"}[number%3]}
}

// newObservingDetector returns a detector that has observed nine routers in three zones.
func newObservingDetector() *Detector {
	detector := &Detector{}
	for number := range 9 {
		detector.Observe(router(number))
	}
	return detector
}

// report makes a router report servers, and returns the advice after that.
func report(detector *Detector, at time.Duration, number int, servers ...string) Advice {
	detector.Report(noon.Add(at), router(number), servers, 12)
	return detector.Advice(noon.Add(at))
}

// TestEjection checks that a server is ejected when routers in two zones report it, is on trial after
// that, and is ejected for twice as long when it fails the trial.
func TestEjection(t *testing.T) {
	detector := newObservingDetector()
	if advice := report(detector, 0, 0, "a"); len(advice.Ejected) != 0 {
		t.Fatalf("after one report: got %v, want no ejection", advice)
	}
	if advice := report(detector, 500*time.Millisecond, 1, "a"); !slices.Equal(advice.Ejected, []string{"a"}) {
		t.Fatalf("after reports from two zones: got %v, want a ejected", advice)
	}
	ends := 500*time.Millisecond + firstEjection
	if advice := report(detector, ends-1, 2, "a"); len(advice.Ejected) != 1 {
		t.Errorf("before the end of the ejection: got %v, want a ejected", advice)
	}
	if advice := detector.Advice(noon.Add(ends)); len(advice.Ejected) != 0 || !slices.Equal(advice.Trial, []string{"a"}) {
		t.Errorf("after the ejection: got %v, want a on trial", advice)
	}
	if advice := report(detector, ends+10*time.Millisecond, 5, "a"); len(advice.Ejected) != 1 {
		t.Errorf("after a failure during the trial: got %v, want a ejected", advice)
	}
	if advice := detector.Advice(noon.Add(ends + 10*time.Millisecond + 2*firstEjection - 1)); len(advice.Ejected) != 1 {
		t.Errorf("before twice the first ejection has passed: got %v, want a ejected", advice)
	}
	after := ends + 10*time.Millisecond + 2*firstEjection + trialDuration
	if advice := detector.Advice(noon.Add(after)); len(advice.Ejected)+len(advice.Trial) != 0 {
		t.Errorf("after a successful trial: got %v, want a neither ejected nor on trial", advice)
	}
	detector.Advice(noon.Add(after + forgetAfter))
	if len(detector.servers) != 0 {
		t.Errorf("long after the ejections: got the state of %d servers, want none", len(detector.servers))
	}
}

// TestReportsOfOneZoneEjectNoServer checks that reports of all routers of one zone, whose network may be
// partitioned, eject no server, unless there is only one zone.
func TestReportsOfOneZoneEjectNoServer(t *testing.T) {
	detector := newObservingDetector()
	for _, number := range []int{0, 3, 6} {
		if advice := report(detector, 0, number, "a", "b"); len(advice.Ejected) != 0 {
			t.Fatalf("after reports from one zone of three: got %v, want no ejection", advice)
		}
	}
	single := &Detector{}
	single.Observe(router(0))
	single.Observe(router(3))
	report(single, 0, 0, "a")
	if advice := report(single, 0, 3, "a"); len(advice.Ejected) != 1 {
		t.Errorf("after reports from the only zone: got %v, want a ejected", advice)
	}
}

// TestOldReportsDoNotCount checks that two reports that are further apart than reportWindow eject no
// server.
func TestOldReportsDoNotCount(t *testing.T) {
	detector := newObservingDetector()
	report(detector, 0, 0, "a")
	if advice := report(detector, reportWindow+1, 1, "a"); len(advice.Ejected) != 0 {
		t.Errorf("got %v, want no ejection", advice)
	}
}

// TestAtMostAThirdOfServersIsEjected checks that at most a third of the servers is ejected if all are reported.
func TestAtMostAThirdOfServersIsEjected(t *testing.T) {
	detector := newObservingDetector()
	var all []string
	for number := range 12 {
		all = append(all, fmt.Sprint("server-", number))
	}
	report(detector, 0, 0, all...)
	if advice := report(detector, 0, 1, all...); len(advice.Ejected) != 4 {
		t.Errorf("got %d of 12 servers ejected, want 4", len(advice.Ejected))
	}
}
