// Package outlier ejects model servers that fail the requests of several routers, whatever
// their health checks say, so that the other routers need not find out by themselves. A server
// is ejected when routers of enough zones report it within a short window; after the ejection a
// few routers try it before all use it again.
//
// The leading controller runs the Detector (package controlplane); routers report failures to
// it and fetch its Advice (package follower). Package scheduler applies the advice, unless the
// router has had a newer success of its own.
package outlier

import (
	"sort"
	"sync"
	"time"
)

// When a server is ejected, and for how long. The values are ours.
const (
	// reportWindow is how far back reports count together.
	reportWindow = 1200 * time.Millisecond
	// leastReporters and leastZones are how many routers, and of how many zones, have to
	// report a server: the routers of one zone may have lost the way to it.
	leastReporters = 2
	leastZones     = 2
	// firstEjection is how long a server is ejected at first; it doubles each time that the
	// server fails its trial, up to longestEjection.
	firstEjection   = 1500 * time.Millisecond
	longestEjection = 6 * time.Second
	// trial is how long a few routers try a server before all use it again.
	trial = time.Second
	// forgetAfter is how long after a server's return its ejections are remembered.
	forgetAfter = 10 * time.Second
	// mostEjected: one server of so many may be ejected at a time. When more fail,
	// something else is broken.
	mostEjected = 3
)

// Reporter is a router that reports.
type Reporter struct{ Name, Zone string }

// Advice lists the servers that are ejected, and those on trial, each sorted by name.
type Advice struct {
	Ejected []string `msgpack:"ejected,omitempty"`
	Trial   []string `msgpack:"trial,omitempty"`
}

// Detector collects the reports of all routers. The zero value is ready to use; its methods may
// be called from several threads.
type Detector struct {
	mutex   sync.Mutex
	servers map[string]*server
	// zones are the zones that ever asked or reported.
	zones map[string]bool
}

type server struct {
	reports map[Reporter]time.Time
	// ejections counts the ejections in a row; until is the end of the latest.
	ejections int
	until     time.Time
}

// Observe notes that a router is there, whether it reports anything or not.
func (d *Detector) Observe(reporter Reporter) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.zones == nil {
		d.zones = map[string]bool{}
	}
	d.zones[reporter.Zone] = true
}

// Report takes which servers failed a router's requests since its last report. listed is how
// many servers there are.
func (d *Detector) Report(now time.Time, reporter Reporter, failing []string, listed int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range failing {
		d.report(now, reporter, name, listed)
	}
}

func (d *Detector) report(now time.Time, reporter Reporter, name string, listed int) {
	known, found := d.servers[name]
	if !found {
		known = &server{reports: map[Reporter]time.Time{}}
		if d.servers == nil {
			d.servers = map[string]*server{}
		}
		d.servers[name] = known
	}
	if now.Before(known.until) {
		// What was under way before the ejection tells nothing new.
		return
	}
	known.reports[reporter] = now
	if !known.onTrial(now) && !d.corroborated(now, known) || d.ejected(now) >= max(1, listed/mostEjected) {
		return
	}
	length := min(firstEjection<<min(known.ejections, 8), longestEjection)
	known.ejections++
	known.until = now.Add(length)
	clear(known.reports)
}

// onTrial tells whether the server's last ejection ended a moment ago.
func (s *server) onTrial(now time.Time) bool {
	return s.ejections > 0 && !now.Before(s.until) && now.Before(s.until.Add(trial))
}

// agreed tells whether enough routers of enough zones reported the server.
func (d *Detector) corroborated(now time.Time, s *server) bool {
	zones, reporters := map[string]bool{}, 0
	for reporter, at := range s.reports {
		if now.Sub(at) > reportWindow {
			delete(s.reports, reporter)
			continue
		}
		zones[reporter.Zone] = true
		reporters++
	}
	return reporters >= leastReporters && len(zones) >= min(leastZones, len(d.zones))
}

func (d *Detector) ejected(now time.Time) int {
	count := 0
	for _, known := range d.servers {
		if now.Before(known.until) {
			count++
		}
	}
	return count
}

// Advice tells which servers routers should leave out or try now, and forgets servers without
// fresh reports.
func (d *Detector) Advice(now time.Time) Advice {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var advice Advice
	for name, known := range d.servers {
		switch {
		case now.Before(known.until):
			advice.Ejected = append(advice.Ejected, name)
		case known.onTrial(now):
			advice.Trial = append(advice.Trial, name)
		case known.ejections > 0 && now.Before(known.until.Add(forgetAfter)):
		case !known.hasFreshReports(now):
			delete(d.servers, name)
		}
	}
	sort.Strings(advice.Ejected)
	sort.Strings(advice.Trial)
	return advice
}

// lately tells whether any report still counts.
func (s *server) hasFreshReports(now time.Time) bool {
	for _, at := range s.reports {
		if now.Sub(at) <= reportWindow {
			return true
		}
	}
	return false
}
