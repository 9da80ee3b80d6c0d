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

// serverList is the platform's list of servers and their load reports. The primary reads both
// for the whole fleet; the other controllers have the list from updates, to send it from their
// first response as primary on.
type serverList struct {
	mutex   sync.Mutex
	listing membership.ServerList
	// epoch is that of the term, and zero while this controller does not lead.
	epoch        uint64
	reportRounds uint64
	reports      map[string]report
	// rounds are the last ones of reading, the newest last.
	rounds     []reportRound
	polling    map[string]bool
	followedAt time.Time
	outliers   outlier.Detector
	lastError  string
	// sizes are the encoded sizes of what was sent, serversBytes and loadsBytes what all of it
	// took before compression.
	sizes        map[sizeKey]int
	serversBytes uint64
	loadsBytes   uint64
	// loadsBytesBefore is loadsBytes at the end of the last round, roundBytes what the round
	// before that took.
	loadsBytesBefore uint64
	roundBytes       uint64
	// readAt is when this controller last began to read for routers without a primary.
	readAt time.Time
}

// report is one server's, with when it was asked for.
type report struct {
	load scheduler.Load
	at   time.Time
}

// reportRound is the reports as they were at the end of a round of reading.
type reportRound struct {
	revision uint64
	endedAt  time.Time
	reports  []wire.LoadReport
	// changes are those to the newest round, if a node needed them.
	changes *wire.LoadChanges
}

// maxRounds is how many rounds back a node may be to be sent only the changes.
const maxRounds = 8

// The intervals of reading. The values are ours.
const (
	listInterval   = 500 * time.Millisecond
	reportInterval = 333 * time.Millisecond
	// idleReportInterval lies between two rounds while no server has much to do: then
	// reports wake nobody whose question would not be answered by then anyway.
	idleReportInterval = follower.UpdateWait
	// idleSlotShare is the part of its slots up to which a server has little to do, and
	// idleRunning that of one which does not tell its slots.
	idleSlotShare = 6
	idleRunning   = 8
	// loadsBytesPerSecond bounds what all nodes are sent of loads, before compression, by longer
	// intervals: a quarter of a link of 100 Mbit/s, so that nothing waits behind loads.
	loadsBytesPerSecond = 3 << 20
	// reportTimeout is how long a server may take to report. A round waits no
	// longer than roundTimeout: a late report goes out with the next.
	reportTimeout = 700 * time.Millisecond
	roundTimeout  = 120 * time.Millisecond
	// reportTTL is how long a report that no other followed is forwarded.
	reportTTL = 3 * time.Second
	// followedTime is how long after a router's last question reports are read for.
	followedTime = 3 * time.Second
)

// revisionOf is the revision of a list or of a round of reports. It is unique in the fleet, since
// an epoch has one primary.
func revisionOf(epoch, count uint64) uint64 { return epoch<<32 | count&0xffffffff }

func splitRevision(revision uint64) (epoch, count uint64) {
	return revision >> 32, revision & 0xffffffff
}

func (l *serverList) revision() uint64 {
	if l.epoch == 0 || l.listing.At().IsZero() {
		return 0
	}
	return revisionOf(l.epoch, l.listing.Changes())
}

func (l *serverList) reportsRevision() uint64 {
	if l.epoch == 0 || len(l.rounds) == 0 {
		return 0
	}
	return l.rounds[len(l.rounds)-1].revision
}

// beginTerm starts the revisions of a term, with the list that is known; endTerm ends them.
func (l *serverList) beginTerm(epoch uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.epoch, l.rounds, l.reports, l.polling = epoch, nil, map[string]report{}, map[string]bool{}
}

func (l *serverList) endTerm() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.epoch = 0
}

func (l *serverList) leading() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.epoch != 0
}

// startRead tells whether the list is to be read for routers without a primary, and
// notes that it is.
func (l *serverList) startRead(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch != 0 || now.Sub(l.readAt) < listInterval || now.Sub(l.listing.At()) < listInterval {
		return false
	}
	l.readAt = now
	return true
}

// fresh is the list without a mark, if it is not older than a router would bear.
func (l *serverList) recent(now time.Time) *wire.ServersUpdate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at := l.listing.At(); at.IsZero() || now.Sub(at) >= discovery.ListTimeout {
		return nil
	}
	return &wire.ServersUpdate{Age: now.Sub(l.listing.At()), Sent: true, Servers: l.listing.Servers(now)}
}

// take takes a list and tells whether it changed anything.
func (l *serverList) update(at time.Time, servers []membership.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listing.Update(at, servers)
}

// servers is the list as it is known now.
func (l *serverList) servers(now time.Time) []membership.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listing.Servers(now)
}

// age is how old the list is, if it was ever read.
func (l *serverList) age(now time.Time) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.listing.At()
	return now.Sub(at), !at.IsZero()
}

// newer tells whether there is a list or a round of reports that the asker has not.
func (l *serverList) hasNewer(request wire.UpdateRequest) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return request.WantServers && l.revision() != 0 && l.revision() != request.ServersRevision ||
		request.WantLoads && l.reportsRevision() != 0 && l.reportsRevision() != request.LoadsRevision
}

// sizeKey names an update of the list or the loads: the changes from base, or all if that is zero.
type sizeKey struct {
	loads          bool
	revision, base uint64
}

// maxSizes bounds the memory for sizes.
const maxSizes = 256

// sizeOf is the encoded size of an update, which is measured once for all nodes. The caller has
// the mutex.
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

// sentBytes are the encoded bytes of lists and of loads that were sent.
func (l *serverList) sentBytes() (servers, loads uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.serversBytes, l.loadsBytes
}

// countBytes counts the bytes of a response's list and loads. The caller has the mutex.
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

// fill adds to a response what the node wants and does not have.
func (l *serverList) fill(now time.Time, request wire.UpdateRequest, response *wire.UpdateResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if request.WantLoads {
		l.followedAt = now
	}
	if current := l.revision(); request.WantServers && current != 0 {
		response.Servers = l.serversUpdate(now, current, request)
	}
	if current := l.reportsRevision(); request.WantLoads && current != 0 && current != request.LoadsRevision {
		response.Loads = l.loadsUpdate(now, request)
	}
	l.countBytes(response)
}

// serversUpdate confirms the list of a node, or has its changes since, or the list itself. The
// caller has the mutex.
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

// loadsUpdate has the changes of the newest round from that of a node, or all of its reports. The
// caller has the mutex.
func (l *serverList) loadsUpdate(now time.Time, request wire.UpdateRequest) *wire.LoadsUpdate {
	newest := l.rounds[len(l.rounds)-1]
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

// loadChanges are the changes from an earlier round to the newest; nil if it is not remembered.
// They are made once for all nodes. The caller has the mutex.
func (l *serverList) loadChanges(revision uint64) *wire.LoadChanges {
	newest := l.rounds[len(l.rounds)-1]
	for position := range l.rounds {
		round := &l.rounds[position]
		if round.revision != revision {
			continue
		}
		if round.changes == nil {
			changes := wire.NewLoadChanges(revision, round.reports, newest.reports)
			round.changes = &changes
		}
		return round.changes
	}
	return nil
}

// recordFailing takes a node's report of the servers that failed its requests.
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

// wanted lists the servers to ask for a report now: those listed that are not being
// asked, if a router follows reports.
func (l *serverList) startPolls(now time.Time) []membership.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch == 0 || l.followedAt.IsZero() || now.Sub(l.followedAt) > followedTime {
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

// endPoll takes a server's report, or that there was none.
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

// round ends a round of reading and forgets the servers that are gone.
func (l *serverList) endRound(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, reported := range l.reports {
		if now.Sub(reported.at) >= reportTTL {
			delete(l.reports, name)
		}
	}
	l.roundBytes, l.loadsBytesBefore = l.loadsBytes-l.loadsBytesBefore, l.loadsBytes
	if l.epoch != 0 {
		l.reportRounds++
		l.recordRound(now)
	}
}

// recordRound remembers the reports as they are now. The caller has the mutex.
func (l *serverList) recordRound(now time.Time) {
	round := reportRound{revision: revisionOf(l.epoch, l.reportRounds), endedAt: now}
	for _, reported := range l.reports {
		round.reports = append(round.reports, wire.NewLoadReport(reported.load, now.Sub(reported.at)))
	}
	wire.SortReports(round.reports)
	l.rounds = append(l.rounds, round)
	l.rounds = slices.Delete(l.rounds, 0, max(0, len(l.rounds)-maxRounds))
	for position := range l.rounds {
		l.rounds[position].changes = nil
	}
}

// reportPause is the time from the beginning of a round of reports to that of the next.
func (l *serverList) reportPause(now time.Time) time.Duration {
	pause := reportInterval
	if l.idle(now) {
		pause = idleReportInterval
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(pause, time.Duration(l.roundBytes)*time.Second/loadsBytesPerSecond)
}

// calm tells whether all servers reported lately that they have little to do.
func (l *serverList) idle(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, server := range l.listing.Servers(now) {
		reported, found := l.reports[server.Name]
		most := idleRunning
		if server.Slots > 0 {
			most = server.Slots / idleSlotShare
		}
		if found && (reported.load.Waiting > 0 || reported.load.Running > most || reported.load.ChangingRole) {
			return false
		}
	}
	return true
}
