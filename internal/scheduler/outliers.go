package scheduler

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/outlier"
)

// How outlier advice is applied. The advice names servers to avoid and servers on trial, and is derived
// from the failures that routers report. It does not apply to a server that has recently completed a
// call of this router.
const (
	// adviceTTL is how long advice is valid without an update.
	adviceTTL = 3 * time.Second
	// ownSuccessSpan is how long a success of this router overrides advice.
	ownSuccessSpan = time.Second
	// routersPerTrial is the number of routers up to which all routers use a server on trial. If
	// there are more, about one in routersPerTrial uses a given server on trial.
	routersPerTrial = 8
)

// SetOutliers applies the advice that package outlier derives from the reports of all routers. The
// advice replaces earlier advice and expires after adviceTTL.
func (s *Scheduler) SetOutliers(now time.Time, advice outlier.Advice) {
	snap := s.snapshot.Load()
	until := now.Add(adviceTTL).UnixNano()
	avoided := make(map[string]bool, len(advice.Ejected)+len(advice.Trial))
	for _, name := range advice.Ejected {
		avoided[name] = true
	}
	for _, name := range advice.Trial {
		if b, found := snap.byName[name]; found && !s.usesOnTrial(b) {
			avoided[name] = true
		}
	}
	for _, b := range snap.all {
		if avoided[b.server.Name] {
			b.outlierUntil.Store(until)
		} else if b.outlierUntil.Load() != 0 {
			b.outlierUntil.Store(0)
		}
	}
}

// usesOnTrial reports whether this router is one of those that use a server on trial.
func (s *Scheduler) usesOnTrial(b *backend) bool {
	return s.routerCount() <= routersPerTrial || rendezvousWeight(nameKey(s.options.Router), b.key)%routersPerTrial == 0
}

// outlier reports whether valid advice says to avoid the server and no call of this router has
// succeeded there within ownSuccessSpan.
func (b *backend) outlier(now time.Time) bool {
	return now.UnixNano() < b.outlierUntil.Load() && now.UnixNano()-b.health.succeeded.Load() > int64(ownSuccessSpan)
}

// failures is the set of servers that failed since the last report.
type failures struct {
	mutex   sync.Mutex
	servers map[string]bool
}

func (f *failures) add(server string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.servers == nil {
		f.servers = map[string]bool{}
	}
	f.servers[server] = true
}

// TakeFailures returns the names of the servers that failed calls since TakeFailures was called last,
// sorted.
func (s *Scheduler) TakeFailures() []string {
	s.failures.mutex.Lock()
	defer s.failures.mutex.Unlock()
	if len(s.failures.servers) == 0 {
		return nil
	}
	servers := make([]string, 0, len(s.failures.servers))
	for server := range s.failures.servers {
		servers = append(servers, server)
	}
	s.failures.servers = nil
	sort.Strings(servers)
	return servers
}
