package controlplane

import (
	"slices"
	"strings"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/discovery"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/follower"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
	"seamloom.example/seamloom/internal/wire"
)

// lists is what a controller knows of the platform's list of servers and of their
// reports. The primary reads both for the whole fleet; the others have the list from
// the news, so that they lead with it at once.
type lists struct {
	mutex   sync.Mutex
	listing membership.ServerList
	// epoch is that of the term whose marks these are, and zero outside of one.
	epoch     uint64
	changes   uint64
	rounds    uint64
	reports   map[string]report
	asking    map[string]bool
	wantedAt  time.Time
	outliers  outlier.Detector
	failedFor string
	// readAt is when this controller last began to read for routers without a primary.
	readAt time.Time
}

// report is one server's, with when it was asked for.
type report struct {
	load scheduler.Load
	at   time.Time
}

// The pauses of reading. The values are ours.
const (
	listPause   = 500 * time.Millisecond
	reportPause = 333 * time.Millisecond
	// calmReportPause lies between two rounds while no server has much to do: then
	// reports wake nobody whose question would not be answered by then anyway.
	calmReportPause = follower.UpdateWait
	// calmShare is the part of its slots up to which a server has little to do, and
	// calmRunning that of one which does not tell its slots.
	calmShare   = 6
	calmRunning = 8
	// reportPatience is how long a server may take to report. A round waits no
	// longer than roundPatience: a late report goes out with the next.
	reportPatience = 700 * time.Millisecond
	roundPatience  = 120 * time.Millisecond
	// reportKept is how long a report that no other followed is forwarded.
	reportKept = 3 * time.Second
	// wantedTime is how long after a router's last question reports are read for.
	wantedTime = 3 * time.Second
)

// mark tells one list, or one round of reports, from all others: an epoch has one
// primary.
func mark(epoch, count uint64) uint64 { return epoch<<32 | count&0xffffffff }

func (l *lists) listMark() uint64 {
	if l.epoch == 0 || l.listing.At().IsZero() {
		return 0
	}
	return mark(l.epoch, l.changes)
}

func (l *lists) reportsMark() uint64 {
	if l.epoch == 0 || l.rounds == 0 {
		return 0
	}
	return mark(l.epoch, l.rounds)
}

// begin starts a term's own marks, from what is known; end ends them.
func (l *lists) begin(epoch uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.epoch, l.changes, l.rounds, l.reports, l.asking = epoch, 1, 0, map[string]report{}, map[string]bool{}
}

func (l *lists) end() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.epoch = 0
}

func (l *lists) leading() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.epoch != 0
}

// readsNow tells whether the list is to be read for routers without a primary, and
// notes that it is.
func (l *lists) readsNow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch != 0 || now.Sub(l.readAt) < listPause || now.Sub(l.listing.At()) < listPause {
		return false
	}
	l.readAt = now
	return true
}

// fresh is the list without a mark, if it is not older than a router would bear.
func (l *lists) fresh(now time.Time) *wire.ServersUpdate {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if at := l.listing.At(); at.IsZero() || now.Sub(at) >= discovery.ListTimeout {
		return nil
	}
	return &wire.ServersUpdate{Age: now.Sub(l.listing.At()), Sent: true, Servers: l.listing.Servers(now)}
}

// take takes a list and tells whether it changed anything.
func (l *lists) take(at time.Time, servers []membership.Server) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	changed := l.listing.Update(at, servers)
	if changed {
		l.changes++
	}
	return changed
}

// servers is the list as it is known now.
func (l *lists) servers(now time.Time) []membership.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listing.Servers(now)
}

// age is how old the list is, if it was ever read.
func (l *lists) age(now time.Time) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	at := l.listing.At()
	return now.Sub(at), !at.IsZero()
}

// newer tells whether there is a list or a round of reports that the asker has not.
func (l *lists) newer(request wire.UpdateRequest) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return request.Lists && l.listMark() != 0 && l.listMark() != request.ListMark ||
		request.Loads && l.reportsMark() != 0 && l.reportsMark() != request.LoadsMark
}

// tell writes into an answer what the asker follows and has not.
func (l *lists) tell(now time.Time, request wire.UpdateRequest, response *wire.UpdateResponse) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if request.Loads {
		l.wantedAt = now
	}
	if current := l.listMark(); request.Lists && current != 0 {
		response.Servers = &wire.ServersUpdate{Mark: current, Age: now.Sub(l.listing.At())}
		if current != request.ListMark {
			response.Servers.Sent, response.Servers.Servers = true, l.listing.Servers(now)
		}
	}
	if current := l.reportsMark(); request.Loads && current != 0 && current != request.LoadsMark {
		response.Loads = &wire.LoadsUpdate{Mark: current, Outliers: l.outliers.Advice(now)}
		for _, reported := range l.reports {
			if age := now.Sub(reported.at); age < reportKept {
				response.Loads.Lines = append(response.Loads.Lines, wire.ReportOf(reported.load, age))
			}
		}
		slices.SortFunc(response.Loads.Lines, func(left, right wire.LoadReport) int { return strings.Compare(left.Server, right.Server) })
	}
}

// noteFailing takes what a node met at servers.
func (l *lists) noteFailing(now time.Time, request wire.UpdateRequest) {
	if !request.Loads {
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
func (l *lists) wanted(now time.Time) []membership.Server {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch == 0 || l.wantedAt.IsZero() || now.Sub(l.wantedAt) > wantedTime {
		return nil
	}
	var wanted []membership.Server
	for _, server := range l.listing.Servers(now) {
		if !l.asking[server.Name] {
			l.asking[server.Name] = true
			wanted = append(wanted, server)
		}
	}
	return wanted
}

// note takes a server's answer, or that there was none.
func (l *lists) note(epoch uint64, server string, at time.Time, load scheduler.Load, err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.epoch != epoch {
		return
	}
	delete(l.asking, server)
	if err == nil && load.Server == server && !at.Before(l.reports[server].at) {
		l.reports[server] = report{load: load, at: at}
	}
}

// round ends a round of reading and forgets the servers that are gone.
func (l *lists) round(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name, reported := range l.reports {
		if now.Sub(reported.at) >= reportKept {
			delete(l.reports, name)
		}
	}
	if l.epoch != 0 {
		l.rounds++
	}
}

// calm tells whether all servers reported lately that they have little to do.
func (l *lists) calm(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, server := range l.listing.Servers(now) {
		reported, found := l.reports[server.Name]
		most := calmRunning
		if server.Slots > 0 {
			most = server.Slots / calmShare
		}
		if found && (reported.load.Waiting > 0 || reported.load.Running > most || reported.load.ChangingRole) {
			return false
		}
	}
	return true
}

// readServers reads the platform's list for the fleet for as long as this controller
// leads, and at once when it begins to.
func (c *Controller) readServers() {
	for c.runtime.Alive() {
		if !c.lists.leading() {
			c.termBegan.Wait(time.Minute, c.lists.leading)
			continue
		}
		asked := c.runtime.Now()
		servers, err := c.options.Directory.Servers()
		// A list that could not be read leaves what is known as it is.
		if err == nil && c.lists.take(asked, servers) {
			c.updated.Broadcast()
		}
		c.noteListTrouble(err)
		if left := listPause - c.runtime.Now().Sub(asked); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// provisionalPatience is how long a router that fetches a configuration from a copy
// waits for the list that is being read. The value is ours.
const provisionalPatience = 150 * time.Millisecond

// provisionalServers is the list of servers for routers that have no primary. It is
// read when the first of them asks, so that they need not all read it themselves, and
// told to who fetches a configuration.
func (c *Controller) provisionalServers(fetches bool) *wire.ServersUpdate {
	if c.options.Directory == nil {
		return nil
	}
	if c.lists.readsNow(c.runtime.Now()) {
		c.runtime.Go(func() {
			asked := c.runtime.Now()
			servers, err := c.options.Directory.Servers()
			if err == nil {
				c.lists.take(asked, servers)
				c.updated.Broadcast()
			}
			c.noteListTrouble(err)
		})
	}
	if !fetches {
		return nil
	}
	var told *wire.ServersUpdate
	c.updated.Wait(provisionalPatience, func() bool {
		told = c.lists.fresh(c.runtime.Now())
		return told != nil
	})
	return told
}

// noteListTrouble logs that the list can't be read, and that it can again, once.
func (c *Controller) noteListTrouble(err error) {
	cause := ""
	if err != nil {
		cause = string(failure.CodeOf(err))
	}
	c.lists.mutex.Lock()
	told := c.lists.failedFor == cause
	c.lists.failedFor = cause
	c.lists.mutex.Unlock()
	if !told {
		c.observe("list_read", "trouble", err)
	}
}

// readReports asks all servers for their load, over and over, while this controller
// leads and a router follows reports.
func (c *Controller) readReports() {
	for c.runtime.Alive() {
		if !c.lists.leading() {
			c.termBegan.Wait(time.Minute, c.lists.leading)
			continue
		}
		began := c.runtime.Now()
		if wanted := c.lists.wanted(began); len(wanted) > 0 {
			c.askAll(wanted)
			c.lists.round(c.runtime.Now())
			c.updated.Broadcast()
		}
		pause := reportPause
		if c.lists.calm(c.runtime.Now()) {
			pause = calmReportPause
		}
		if left := pause - c.runtime.Now().Sub(began); left > 0 {
			runtime.Sleep(c.runtime, left)
		}
	}
}

// askAll asks servers at once and waits for those that answer soon.
func (c *Controller) askAll(servers []membership.Server) {
	c.lists.mutex.Lock()
	epoch := c.lists.epoch
	c.lists.mutex.Unlock()
	cond := c.runtime.NewCond()
	var mutex sync.Mutex
	left := len(servers)
	for _, server := range servers {
		c.runtime.Go(func() {
			asked := c.runtime.Now()
			load, err := c.options.Reports.Report(server, reportPatience)
			c.lists.note(epoch, server.Name, asked, load, err)
			mutex.Lock()
			left--
			last := left == 0
			mutex.Unlock()
			if last {
				cond.Broadcast()
			}
		})
	}
	cond.Wait(roundPatience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return left == 0
	})
}

// readNodes reads the platform's list of nodes, where there is one.
func (c *Controller) readNodes() {
	for c.runtime.Alive() {
		nodes, err := c.options.Directory.Nodes()
		if failure.CodeOf(err) == failure.NoSuch {
			return
		}
		if err == nil {
			c.setNodes(nodes)
		}
		runtime.Sleep(c.runtime, discovery.NodesInterval)
	}
}
