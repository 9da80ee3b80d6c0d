package controlplane

import (
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// serverList holds the platform's list of servers and their load reports. The primary reads both for
// the whole fleet. The other controllers get the list from the primary's updates, so that a new
// primary can send it in its first response.
type serverList struct {
	mutex   sync.Mutex
	listing membership.ServerList
	// epoch is the epoch of the current term, or zero while this controller is not primary.
	epoch      uint64
	cycleCount uint64
	reports    map[string]report
	// recentCycles are the last poll cycles, the newest last.
	recentCycles  []pollCycle
	polling       map[string]bool
	loadsWantedAt time.Time
	outliers      outlier.Detector
	lastError     string
	// sizes caches the encoded sizes of updates. serversBytes and loadsBytes are the totals of the
	// encoded bytes that were sent, before compression.
	sizes        map[sizeKey]int
	serversBytes uint64
	loadsBytes   uint64
	// loadsBytesAtCycleEnd is loadsBytes at the end of the last poll cycle. cycleBytes is the number
	// of load bytes sent between the ends of the last two cycles.
	loadsBytesAtCycleEnd uint64
	cycleBytes           uint64
	// provisionalReadAt is when this controller last started to read the list for routers that have
	// found no primary.
	provisionalReadAt time.Time
}

// report is the load of one server and the time at which it was requested.
type report struct {
	load scheduler.Load
	at   time.Time
}

// pollCycle holds the reports that were known at the end of one cycle of polling all servers.
type pollCycle struct {
	revision uint64
	endedAt  time.Time
	reports  []wire.LoadReport
	// changes are the changes from this cycle to the newest one; they are computed when a node needs them.
	changes *wire.LoadChanges
}

// maxRecentCycles is the number of poll cycles from which a node can be sent only the changes.
const maxRecentCycles = 8

// The intervals and limits of reading the list and polling the loads.
const (
	listInterval   = 500 * time.Millisecond
	reportInterval = 333 * time.Millisecond
	// idleReportInterval is the time between two poll cycles while all servers are nearly idle. It
	// equals the maximum wait of a poll that wants no loads, so that the load reports of an idle fleet
	// cause no additional responses.
	idleReportInterval = follower.UpdateWait
	// A server is nearly idle while it runs at most its number of slots divided by idleSlotDivisor.
	// idleRunning is the limit for a server whose number of slots is unknown.
	idleSlotDivisor = 6
	idleRunning     = 8
	// loadsBytesPerSecond limits the load bytes sent to all nodes, before compression. The poll interval
	// grows to stay within this limit, a quarter of a link of 100 Mbit/s, so that no other update waits
	// behind loads.
	loadsBytesPerSecond = 3 << 20
	// reportTimeout is how long a server may take to report its load. A poll cycle waits no longer
	// than cycleTimeout: a later report is sent with the next cycle.
	reportTimeout = 700 * time.Millisecond
	cycleTimeout  = 120 * time.Millisecond
	// reportTTL is how long a report is sent to nodes if no newer one replaces it.
	reportTTL = 3 * time.Second
	// loadsWantedTTL is how long loads are polled after the last request of a router for them.
	loadsWantedTTL = 3 * time.Second
)

// revisionOf returns the revision of a list or of a poll cycle: its epoch in the upper 32 bits and
// its number in the lower 32 bits. A revision is unique in the fleet, since an epoch has only one
// primary.
func revisionOf(epoch, count uint64) uint64 { return epoch<<32 | count&0xffffffff }

// splitRevision returns the epoch and the number that revisionOf combined.
func splitRevision(revision uint64) (epoch, count uint64) {
	return revision >> 32, revision & 0xffffffff
}

// revision returns the revision of the list, or zero if this controller is not primary or has no
// list. The caller holds the mutex.
func (l *serverList) revision() uint64 {
	if l.epoch == 0 || l.listing.At().IsZero() {
		return 0
	}
	return revisionOf(l.epoch, l.listing.Changes())
}

// reportsRevision returns the revision of the newest poll cycle, or zero if there is none in this
// term. The caller holds the mutex.
func (l *serverList) reportsRevision() uint64 {
	if l.epoch == 0 || len(l.recentCycles) == 0 {
		return 0
	}
	return l.recentCycles[len(l.recentCycles)-1].revision
}

// beginTerm starts a term in an epoch. The known list stays, the load reports are dropped.
func (l *serverList) beginTerm(epoch uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.epoch, l.recentCycles, l.reports, l.polling = epoch, nil, map[string]report{}, map[string]bool{}
}

// endTerm ends the term: no list and no loads are sent until the next one begins.
func (l *serverList) endTerm() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.epoch = 0
}

// leading reports whether this controller has a term.
func (l *serverList) leading() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.epoch != 0
}

// startRead reports whether the list must be read now for routers that have found no primary, and
// if so records the start of the read.
func (l *serverList) startRead(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch != 0 || now.Sub(l.provisionalReadAt) < listInterval || now.Sub(l.listing.At()) < listInterval {
		return false
	}
	l.provisionalReadAt = now
	return true
}

// recent returns the list without a revision, or nil if there is no list or it is too old for routers to accept.
func (l *serverList) recent(now time.Time) *wire.ServersUpdate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at := l.listing.At(); at.IsZero() || now.Sub(at) >= discovery.ListTimeout {
		return nil
	}
	return &wire.ServersUpdate{Age: now.Sub(l.listing.At()), Sent: true, Servers: l.listing.Servers(now)}
}

// update replaces the list by one that was read at the given time, and reports whether the list has
// changed.
func (l *serverList) update(at time.Time, servers []membership.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listing.Update(at, servers)
}

// servers returns the list as of now.
func (l *serverList) servers(now time.Time) []membership.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listing.Servers(now)
}

// age returns the age of the list, and whether the list was ever read.
func (l *serverList) age(now time.Time) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.listing.At()
	return now.Sub(at), !at.IsZero()
}

// hasNewer reports whether there is a list or a poll cycle that the requesting node wants and does
// not have.
func (l *serverList) hasNewer(request wire.UpdateRequest) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return request.WantServers && l.revision() != 0 && l.revision() != request.ServersRevision ||
		request.WantLoads && l.reportsRevision() != 0 && l.reportsRevision() != request.LoadsRevision
}

// sizeKey identifies an update of the list or of the loads: the changes from base to revision, or the
// complete update if base is zero. If base equals revision, the update only confirms the node's list.
type sizeKey struct {
	loads          bool
	revision, base uint64
}

// maxSizes limits the number of cached sizes.
const maxSizes = 256

// sizeOf returns the encoded size of an update, which is computed once for all nodes. The caller
// holds the mutex.
func (l *serverList) sizeOf(key sizeKey, update any) uint64 {
	if size, found := l.sizes[key]; found {
		return uint64(size)
	}
	encoded, err := msgpack.Marshal(update)
	if err != nil {
		return 0
	}
	if l.sizes == nil || len(l.sizes) >= maxSizes {
		l.sizes = map[sizeKey]int{}
	}
	l.sizes[key] = len(encoded)
	return uint64(len(encoded))
}

// sentBytes returns the encoded bytes of the lists and of the loads that were sent.
func (l *serverList) sentBytes() (servers, loads uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.serversBytes, l.loadsBytes
}

// countBytes adds the bytes of a response's list and loads to the totals. The caller holds the mutex.
func (l *serverList) countBytes(response *wire.UpdateResponse) {
	if servers := response.Servers; servers != nil {
		key := sizeKey{revision: servers.Revision, base: servers.Revision}
		if servers.Sent {
			key.base = 0
		} else if servers.Changes != nil {
			key.base = servers.Changes.Base
		}
		l.serversBytes += l.sizeOf(key, servers)
	}
	if loads := response.Loads; loads != nil {
		key := sizeKey{loads: true, revision: loads.Revision}
		if loads.Changes != nil {
			key.base = loads.Changes.Base
		}
		l.loadsBytes += l.sizeOf(key, loads)
	}
}

// fill adds to a response the list and the loads that the node wants and does not have.
func (l *serverList) fill(now time.Time, request wire.UpdateRequest, response *wire.UpdateResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if request.WantLoads {
		l.loadsWantedAt = now
	}
	if current := l.revision(); request.WantServers && current != 0 {
		response.Servers = l.serversUpdate(now, current, request)
	}
	if current := l.reportsRevision(); request.WantLoads && current != 0 && current != request.LoadsRevision {
		response.Loads = l.loadsUpdate(now, request)
	}
	l.countBytes(response)
}

// serversUpdate returns an update that confirms the node's list, or contains the changes since that
// list, or the complete list. The caller holds the mutex.
func (l *serverList) serversUpdate(now time.Time, current uint64, request wire.UpdateRequest) *wire.ServersUpdate {
	update := &wire.ServersUpdate{Revision: current, Age: now.Sub(l.listing.At())}
	if current == request.ServersRevision {
		return update
	}
	if epoch, change := splitRevision(request.ServersRevision); request.AcceptChanges && epoch == l.epoch {
		if changed, removed, known := l.listing.ChangesSince(now, change); known {
			update.Changes = &wire.ServerChanges{Base: request.ServersRevision, Changed: changed, Removed: removed}
			return update
		}
	}
	update.Sent, update.Servers = true, l.listing.Servers(now)
	return update
}

// loadsUpdate returns an update with the changes from the node's poll cycle to the newest one, or with
// all reports of the newest cycle. The caller holds the mutex.
func (l *serverList) loadsUpdate(now time.Time, request wire.UpdateRequest) *wire.LoadsUpdate {
	newest := l.recentCycles[len(l.recentCycles)-1]
	age := int(now.Sub(newest.endedAt).Milliseconds())
	update := &wire.LoadsUpdate{Revision: newest.revision, Age: age, Outliers: l.outliers.Advice(now)}
	if request.AcceptChanges {
		if update.Changes = l.loadChanges(request.LoadsRevision); update.Changes != nil {
			return update
		}
	}
	update.Reports = slices.Clone(newest.reports)
	for position := range update.Reports {
		update.Reports[position].Age += age
	}
	return update
}

// loadChanges returns the changes from an earlier poll cycle to the newest, or nil if that cycle is
// not among the recent ones. The changes are computed once for all nodes. The caller holds the mutex.
func (l *serverList) loadChanges(revision uint64) *wire.LoadChanges {
	newest := l.recentCycles[len(l.recentCycles)-1]
	for position := range l.recentCycles {
		cycle := &l.recentCycles[position]
		if cycle.revision != revision {
			continue
		}
		if cycle.changes == nil {
			changes := wire.NewLoadChanges(revision, cycle.reports, newest.reports)
			cycle.changes = &changes
		}
		return cycle.changes
	}
	return nil
}

// recordFailing records the servers that failed requests of a node.
func (l *serverList) recordFailing(now time.Time, request wire.UpdateRequest) {
	if !request.WantLoads {
		return
	}
	reporter := outlier.Reporter{Name: request.Member.Name, Zone: request.Member.Zone}
	l.outliers.Observe(reporter)
	if len(request.Failing) > 0 {
		l.outliers.Report(now, reporter, request.Failing, len(l.servers(now)))
	}
}

// startPolls returns the servers to poll now, and marks them as being polled: the listed servers that
// are not being polled already, or none if no router wants loads.
func (l *serverList) startPolls(now time.Time) []membership.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch == 0 || l.loadsWantedAt.IsZero() || now.Sub(l.loadsWantedAt) > loadsWantedTTL {
		return nil
	}
	var wanted []membership.Server
	for _, server := range l.listing.Servers(now) {
		if !l.polling[server.Name] {
			l.polling[server.Name] = true
			wanted = append(wanted, server)
		}
	}
	return wanted
}

// endPoll records the result of polling a server: its load, or an error.
func (l *serverList) endPoll(epoch uint64, server string, at time.Time, load scheduler.Load, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch != epoch {
		return
	}
	delete(l.polling, server)
	if err == nil && load.Server == server && !at.Before(l.reports[server].at) {
		l.reports[server] = report{load: load, at: at}
	}
}

// endCycle ends a poll cycle and removes the reports that are too old to send.
func (l *serverList) endCycle(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, reported := range l.reports {
		if now.Sub(reported.at) >= reportTTL {
			delete(l.reports, name)
		}
	}
	l.cycleBytes, l.loadsBytesAtCycleEnd = l.loadsBytes-l.loadsBytesAtCycleEnd, l.loadsBytes
	if l.epoch != 0 {
		l.cycleCount++
		l.recordCycle(now)
	}
}

// recordCycle stores the current reports as the newest poll cycle. The caller holds the mutex.
func (l *serverList) recordCycle(now time.Time) {
	cycle := pollCycle{revision: revisionOf(l.epoch, l.cycleCount), endedAt: now}
	for _, reported := range l.reports {
		cycle.reports = append(cycle.reports, wire.NewLoadReport(reported.load, now.Sub(reported.at)))
	}
	wire.SortReports(cycle.reports)
	l.recentCycles = append(l.recentCycles, cycle)
	l.recentCycles = slices.Delete(l.recentCycles, 0, max(0, len(l.recentCycles)-maxRecentCycles))
	for position := range l.recentCycles {
		l.recentCycles[position].changes = nil
	}
}

// pollInterval returns the time from the start of a poll cycle to the start of the next.
func (l *serverList) pollInterval(now time.Time) time.Duration {
	interval := reportInterval
	if l.idle(now) {
		interval = idleReportInterval
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(interval, time.Duration(l.cycleBytes)*time.Second/loadsBytesPerSecond)
}

// idle reports whether, by their load reports, all servers run few requests, have none waiting and are not
// changing their role. A server without a report counts as idle.
func (l *serverList) idle(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, server := range l.listing.Servers(now) {
		reported, found := l.reports[server.Name]
		limit := idleRunning
		if server.Slots > 0 {
			limit = server.Slots / idleSlotDivisor
		}
		if found && (reported.load.Waiting > 0 || reported.load.Running > limit || reported.load.ChangingRole) {
			return false
		}
	}
	return true
}
