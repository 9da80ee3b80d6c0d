package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func router(number int) Reporter {
	return Reporter{Name: fmt.Sprint("router-", number), Zone: []string{"north", "south", "west"}[number%3]}
}

// fleet is a detector that has seen nine routers of three zones.
func fleet() *Detector {
	detector := &Detector{}
	for number := range 9 {
		detector.Observe(router(number))
	}
	return detector
}

func report(detector *Detector, at time.Duration, number int, servers ...string) Advice {
	detector.Report(noon.Add(at), router(number), servers, 12)
	return detector.Advice(noon.Add(at))
}

// TestEjection has a server ejected when routers of two zones report it, left alone, put on
// trial, and ejected for twice as long when it fails that.
func TestEjection(t *testing.T) {
	detector := fleet()
	if advice := report(detector, 0, 0, "a"); len(advice.Ejected) != 0 {
		t.Fatalf("one reporter is enough: %v", advice)
	}
	if advice := report(detector, 500*time.Millisecond, 1, "a"); !slices.Equal(advice.Ejected, []string{"a"}) {
		t.Fatalf("two reporters are not: %v", advice)
	}
	ends := 500*time.Millisecond + firstEjection
	if advice := report(detector, ends-1, 2, "a"); len(advice.Ejected) != 1 {
		t.Errorf("it came back early: %v", advice)
	}
	if advice := detector.Advice(noon.Add(ends)); len(advice.Ejected) != 0 || !slices.Equal(advice.Trial, []string{"a"}) {
		t.Errorf("no trial: %v", advice)
	}
	if advice := report(detector, ends+10*time.Millisecond, 5, "a"); len(advice.Ejected) != 1 {
		t.Errorf("the trial was failed: %v", advice)
	}
	if advice := detector.Advice(noon.Add(ends + 10*time.Millisecond + 2*firstEjection - 1)); len(advice.Ejected) != 1 {
		t.Errorf("the second ejection is no longer than the first: %v", advice)
	}
	after := ends + 10*time.Millisecond + 2*firstEjection + trial
	if advice := detector.Advice(noon.Add(after)); len(advice.Ejected)+len(advice.Trial) != 0 {
		t.Errorf("the trial was passed: %v", advice)
	}
	detector.Advice(noon.Add(after + forgetAfter))
	if len(detector.servers) != 0 {
		t.Errorf("%d servers are remembered for ever", len(detector.servers))
	}
}

// TestOneZoneIsNotEnough has all routers of a zone that is cut off report servers.
func TestOneZoneIsNotEnough(t *testing.T) {
	detector := fleet()
	for _, number := range []int{0, 3, 6} {
		if advice := report(detector, 0, number, "a", "b"); len(advice.Ejected) != 0 {
			t.Fatalf("%v", advice)
		}
	}
	single := &Detector{}
	single.Observe(router(0))
	single.Observe(router(3))
	report(single, 0, 0, "a")
	if advice := report(single, 0, 3, "a"); len(advice.Ejected) != 1 {
		t.Errorf("a fleet of one zone ejects nothing: %v", advice)
	}
}

// TestOldReportsDoNotCount has two routers report a server far apart.
func TestOldReportsDoNotCount(t *testing.T) {
	detector := fleet()
	report(detector, 0, 0, "a")
	if advice := report(detector, reportWindow+1, 1, "a"); len(advice.Ejected) != 0 {
		t.Errorf("%v", advice)
	}
}

// TestMostServersStay has every server reported: a third is ejected at the most.
func TestMostServersStay(t *testing.T) {
	detector := fleet()
	var all []string
	for number := range 12 {
		all = append(all, fmt.Sprint("server-", number))
	}
	report(detector, 0, 0, all...)
	if advice := report(detector, 0, 1, all...); len(advice.Ejected) != 4 {
		t.Errorf("%d of 12 are ejected", len(advice.Ejected))
	}
}
