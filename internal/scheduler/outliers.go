package scheduler

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/outlier"
)

// What other routers met at a server counts for this one where it has no newer experience of
// its own. The values are ours.
const (
	// adviceTTL is how long advice holds without an update.
	adviceTTL = 3 * time.Second
	// ownSuccessSpan is how long a success of this router outweighs advice.
	ownSuccessSpan = time.Second
	// trialShare: one router of so many uses a server on trial.
	trialShare = 8
)

// SetOutliers takes the advice that package outlier draws from the reports of all routers. It
// replaces earlier advice and lapses after adviceTTL.
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

// usesOnTrial tells whether this router is one of those that use a server on trial.
func (s *Scheduler) usesOnTrial(b *backend) bool {
	return s.routerCount() <= trialShare || rendezvousWeight(nameKey(s.options.Router), b.key)%trialShare == 0
}

// outlier tells whether the server fails other routers and had no success with this one since.
func (b *backend) outlier(now time.Time) bool {
	return now.UnixNano() < b.outlierUntil.Load() && now.UnixNano()-b.health.succeeded.Load() > int64(ownSuccessSpan)
}

// failures are the servers that failed since they were last reported.
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

// TakeFailures are the servers, sorted, that failed calls since the last call of it.
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
