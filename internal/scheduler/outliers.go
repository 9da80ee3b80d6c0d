package scheduler

import (
	"sort"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/outlier"
)

// What other routers met at a server counts for this one where it has no better knowledge
// of its own. The values are ours.
const (
	// adviceTTL is how long advice holds when no more news comes.
	adviceTTL = 3 * time.Second
	// ownSuccessSpan is how long a success of this router's own outweighs advice.
	ownSuccessSpan = time.Second
	// trialShare is the part of the routers that use a server on trial, one of so many.
	trialShare = 8
)

// SetOutliers takes the advice that comes of what all routers met.
func (w *Scheduler) SetOutliers(now time.Time, advice outlier.Advice) {
	b := w.snapshot.Load()
	until := now.Add(adviceTTL).UnixNano()
	avoided := make(map[string]bool, len(advice.Ejected)+len(advice.Trial))
	for _, name := range advice.Ejected {
		avoided[name] = true
	}
	for _, name := range advice.Trial {
		if ba, found := b.byName[name]; found && !w.usesOnTrial(ba) {
			avoided[name] = true
		}
	}
	for _, bc := range b.all {
		if avoided[bc.server.Name] {
			bc.outlierUntil.Store(until)
		} else if bc.outlierUntil.Load() != 0 {
			bc.outlierUntil.Store(0)
		}
	}
}

// tries tells whether this router is one of those that use a server on trial.
func (w *Scheduler) usesOnTrial(b *backend) bool {
	return w.routerCount() <= trialShare || rendezvousWeight(nameKey(w.options.Router), b.key)%trialShare == 0
}

// outlier tells whether other routers failed at the server and this one knows no better.
func (b *backend) outlier(now time.Time) bool {
	return now.UnixNano() < b.outlierUntil.Load() && now.UnixNano()-b.health.succeeded.Load() > int64(ownSuccessSpan)
}

// failures are the servers that failed since they were last told of.
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

// TakeFailures are the servers that failed calls since it was last asked, in order.
func (w *Scheduler) TakeFailures() []string {
	w.failures.mutex.Lock()
	defer w.failures.mutex.Unlock()
	if len(w.failures.servers) == 0 {
		return nil
	}
	servers := make([]string, 0, len(w.failures.servers))
	for server := range w.failures.servers {
		servers = append(servers, server)
	}
	w.failures.servers = nil
	sort.Strings(servers)
	return servers
}
