// Package outlier ejects model servers that fail the requests of several routers, whatever the
// servers' health checks say, so that the other routers need not find the failures by themselves. A
// server is ejected if enough routers in enough zones report it within a short window. After the
// ejection the server is on trial: only a few routers use it until the trial ends.
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

// When a server is ejected, and for how long.
const (
	// reportWindow is the maximum age of reports that are counted together.
	reportWindow = 1200 * time.Millisecond
	// minReporters and minZones are how many routers, in how many zones, have to report a server.
	// Reports of a single zone are not enough, since its network link to the server may have failed.
	minReporters = 2
	minZones     = 2
	// firstEjection is the duration of a server's first ejection. The duration doubles with each
	// further ejection, up to longestEjection, unless the earlier ones are forgotten (forgetAfter).
	firstEjection   = 1500 * time.Millisecond
	longestEjection = 6 * time.Second
	// trialDuration is how long only a few routers use a server after its ejection.
	trialDuration = time.Second
	// forgetAfter is how long after the end of a server's last ejection the number of its
	// ejections is kept.
	forgetAfter = 10 * time.Second
	// serversPerEjection limits the ejected servers to one in three of the listed ones, but at least
	// one. If more servers fail, the fault is likely to be elsewhere.
	serversPerEjection = 3
)

// Reporter is a router that reports failures.
type Reporter struct{ Name, Zone string }

// Advice lists the servers that are ejected, and those on trial, each sorted by name.
type Advice struct {
	Ejected []string `msgpack:"ejected,omitempty"`
	Trial   []string `msgpack:"trial,omitempty"`
}

// Detector collects the reports of all routers. The zero value is ready to use. It is safe for
// concurrent use.
type Detector struct {
	mutex   sync.Mutex
	servers map[string]*server
	// zones are the zones of all routers that were ever observed.
	zones map[string]bool
}

// server is the state of one reported server.
type server struct {
	// reports holds the time of the latest report of each router.
	reports map[Reporter]time.Time
	// ejections is the number of consecutive ejections; until is the end of the latest one.
	ejections int
	until     time.Time
}

// Observe records that a router exists, whether or not it reports any failures.
func (d *Detector) Observe(reporter Reporter) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.zones == nil {
		d.zones = map[string]bool{}
	}
	d.zones[reporter.Zone] = true
}

// Report records the servers that failed a router's requests since its last report. listed is the
// number of all listed servers.
func (d *Detector) Report(now time.Time, reporter Reporter, failing []string, listed int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range failing {
		d.report(now, reporter, name, listed)
	}
}

// report records a report of one server, and ejects the server if enough routers have reported it and
// the limit of ejected servers is not reached. A server on trial is ejected by a single report.
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
		// The failed requests were sent before the ejection, so the report gives no new information.
		return
	}
	known.reports[reporter] = now
	if !known.onTrial(now) && !d.corroborated(now, known) || d.ejected(now) >= max(1, listed/serversPerEjection) {
		return
	}
	duration := min(firstEjection<<min(known.ejections, 8), longestEjection)
	known.ejections++
	known.until = now.Add(duration)
	clear(known.reports)
}

// onTrial reports whether the server's last ejection ended less than trialDuration ago.
func (s *server) onTrial(now time.Time) bool {
	return s.ejections > 0 && !now.Before(s.until) && now.Before(s.until.Add(trialDuration))
}

// corroborated reports whether enough routers in enough zones have reported the server within
// reportWindow, and deletes older reports. If all routers are in one zone, reports of that zone are
// enough.
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
	return reporters >= minReporters && len(zones) >= min(minZones, len(d.zones))
}

// ejected returns the number of servers that are ejected.
func (d *Detector) ejected(now time.Time) int {
	count := 0
	for _, known := range d.servers {
		if now.Before(known.until) {
			count++
		}
	}
	return count
}

// Advice returns the servers that are ejected or on trial, and deletes the state of servers that have
// neither a report within reportWindow nor an ejection that ended within forgetAfter.
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

// hasFreshReports reports whether any report is within reportWindow.
func (s *server) hasFreshReports(now time.Time) bool {
	for _, at := range s.reports {
		if now.Sub(at) <= reportWindow {
			return true
		}
	}
	return false
}
