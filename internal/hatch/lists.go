package hatch

import (
	"slices"
	"strings"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/outlier"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/scheduler"
)

// lists is what an expediter knows of the platform's list of servers and of their
// reports. The primary reads both for the whole fleet; the others have the list from
// the news, so that they lead with it at once.
type lists struct {
	mutex   sync.Mutex
	listing membership.Listing
	// epoch is that of the reign whose marks these are, and zero outside of one.
	epoch     uint64
	changes   uint64
	rounds    uint64
	reports   map[string]report
	asking    map[string]bool
	wantedAt  time.Time
	outliers  outlier.Detector
	failedFor string
	// readAt is when this expediter last began to read for couriers without a primary.
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
	calmReportPause = updateWait
	// calmShare is the part of its slots up to which a server has little to do, and
	// calmRunning that of one which does not tell its slots.
	calmShare   = 6
	calmRunning = 8
	// reportPatience is how long a server may take to report. A round waits no
	// longer than roundPatience: a late report goes out with the next.
	reportPatience = 700 * time.Millisecond
	roundPatience  = 120 * time.Millisecond
	// reportKept is how long a report that no other followed is passed on.
	reportKept = 3 * time.Second
	// wantedTime is how long after a courier's last question reports are read for.
	wantedTime = 3 * time.Second
	nodesPause = 500 * time.Millisecond
)

// mark tells one list, or one round of reports, from all others: an epoch has one
// primary.
func mark(epoch, count uint64) uint64 { return epoch<<32 | count&0xffffffff }

func (lists *lists) listMark() uint64 {
	if lists.epoch == 0 || lists.listing.At().IsZero() {
		return 0
	}
	return mark(lists.epoch, lists.changes)
}

func (lists *lists) reportsMark() uint64 {
	if lists.epoch == 0 || lists.rounds == 0 {
		return 0
	}
	return mark(lists.epoch, lists.rounds)
}

// begin starts a reign's own marks, from what is known; end ends them.
func (lists *lists) begin(epoch uint64) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	lists.epoch, lists.changes, lists.rounds, lists.reports, lists.asking = epoch, 1, 0, map[string]report{}, map[string]bool{}
}

func (lists *lists) end() {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	lists.epoch = 0
}

func (lists *lists) leading() bool {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.epoch != 0
}

// readsNow tells whether the list is to be read for couriers without a primary, and
// notes that it is.
func (lists *lists) readsNow(now time.Time) bool {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	if lists.epoch != 0 || now.Sub(lists.readAt) < listPause || now.Sub(lists.listing.At()) < listPause {
		return false
	}
	lists.readAt = now
	return true
}

// fresh is the list without a mark, if it is not older than a courier would bear.
func (lists *lists) fresh(now time.Time) *ServersUpdate {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	if at := lists.listing.At(); at.IsZero() || now.Sub(at) >= listPatience {
		return nil
	}
	return &ServersUpdate{Age: now.Sub(lists.listing.At()), Sent: true, Servers: lists.listing.Servers(now)}
}

// take takes a list and tells whether it changed anything.
func (lists *lists) take(at time.Time, servers []membership.Server) bool {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	changed := lists.listing.Take(at, servers)
	if changed {
		lists.changes++
	}
	return changed
}

// servers is the list as it is known now.
func (lists *lists) servers(now time.Time) []membership.Server {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return lists.listing.Servers(now)
}

// age is how old the list is, if it was ever read.
func (lists *lists) age(now time.Time) (time.Duration, bool) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	at := lists.listing.At()
	return now.Sub(at), !at.IsZero()
}

// newer tells whether there is a list or a round of reports that the asker has not.
func (lists *lists) newer(question UpdateQuestion) bool {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	return question.Lists && lists.listMark() != 0 && lists.listMark() != question.ListMark ||
		question.Loads && lists.reportsMark() != 0 && lists.reportsMark() != question.LoadsMark
}

// tell writes into an answer what the asker follows and has not.
func (lists *lists) tell(now time.Time, question UpdateQuestion, answer *UpdateAnswer) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	if question.Loads {
		lists.wantedAt = now
	}
	if current := lists.listMark(); question.Lists && current != 0 {
		answer.Servers = &ServersUpdate{Mark: current, Age: now.Sub(lists.listing.At())}
		if current != question.ListMark {
			answer.Servers.Sent, answer.Servers.Servers = true, lists.listing.Servers(now)
		}
	}
	if current := lists.reportsMark(); question.Loads && current != 0 && current != question.LoadsMark {
		answer.Loads = &LoadsUpdate{Mark: current, Outliers: lists.outliers.Advice(now)}
		for _, reported := range lists.reports {
			if age := now.Sub(reported.at); age < reportKept {
				answer.Loads.Lines = append(answer.Loads.Lines, reportOf(reported.load, age))
			}
		}
		slices.SortFunc(answer.Loads.Lines, func(left, right loadReport) int { return strings.Compare(left.Server, right.Server) })
	}
}

// noteFailing takes what a node met at servers.
func (lists *lists) noteFailing(now time.Time, question UpdateQuestion) {
	if !question.Loads {
		return
	}
	reporter := outlier.Reporter{Name: question.Member.Name, Zone: question.Member.Zone}
	lists.outliers.Seen(reporter)
	if len(question.Failing) > 0 {
		lists.outliers.Report(now, reporter, question.Failing, len(lists.servers(now)))
	}
}

// wanted lists the servers to ask for a report now: those listed that are not being
// asked, if a courier follows reports.
func (lists *lists) wanted(now time.Time) []membership.Server {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	if lists.epoch == 0 || lists.wantedAt.IsZero() || now.Sub(lists.wantedAt) > wantedTime {
		return nil
	}
	var wanted []membership.Server
	for _, server := range lists.listing.Servers(now) {
		if !lists.asking[server.Name] {
			lists.asking[server.Name] = true
			wanted = append(wanted, server)
		}
	}
	return wanted
}

// note takes a server's answer, or that there was none.
func (lists *lists) note(epoch uint64, server string, at time.Time, load scheduler.Load, err error) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	if lists.epoch != epoch {
		return
	}
	delete(lists.asking, server)
	if err == nil && load.Server == server && !at.Before(lists.reports[server].at) {
		lists.reports[server] = report{load: load, at: at}
	}
}

// round ends a round of reading and forgets the servers that are gone.
func (lists *lists) round(now time.Time) {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	for name, reported := range lists.reports {
		if now.Sub(reported.at) >= reportKept {
			delete(lists.reports, name)
		}
	}
	if lists.epoch != 0 {
		lists.rounds++
	}
}

// calm tells whether all servers reported lately that they have little to do.
func (lists *lists) calm(now time.Time) bool {
	lists.mutex.Lock()
	defer lists.mutex.Unlock()
	for _, server := range lists.listing.Servers(now) {
		reported, found := lists.reports[server.Name]
		most := calmRunning
		if server.Slots > 0 {
			most = server.Slots / calmShare
		}
		if found && (reported.load.Waiting > 0 || reported.load.Running > most || reported.load.Changing) {
			return false
		}
	}
	return true
}

// readServers reads the platform's list for the fleet for as long as this expediter
// leads, and at once when it begins to.
func (controller *Controller) readServers() {
	for controller.runtime.Alive() {
		if !controller.lists.leading() {
			controller.terms.Wait(time.Minute, controller.lists.leading)
			continue
		}
		asked := controller.runtime.Now()
		servers, err := controller.options.Directory.Servers()
		// A list that could not be read leaves what is known as it is.
		if err == nil && controller.lists.take(asked, servers) {
			controller.update.Broadcast()
		}
		controller.noteListTrouble(err)
		if left := listPause - controller.runtime.Now().Sub(asked); left > 0 {
			runtime.Sleep(controller.runtime, left)
		}
	}
}

// provisionalPatience is how long a courier that fetches a configuration from a copy
// waits for the list that is being read. The value is ours.
const provisionalPatience = 150 * time.Millisecond

// provisionalServers is the list of servers for couriers that have no primary. It is
// read when the first of them asks, so that they need not all read it themselves, and
// told to who fetches a configuration.
func (controller *Controller) provisionalServers(fetches bool) *ServersUpdate {
	if controller.options.Directory == nil {
		return nil
	}
	if controller.lists.readsNow(controller.runtime.Now()) {
		controller.runtime.Go(func() {
			asked := controller.runtime.Now()
			servers, err := controller.options.Directory.Servers()
			if err == nil {
				controller.lists.take(asked, servers)
				controller.update.Broadcast()
			}
			controller.noteListTrouble(err)
		})
	}
	if !fetches {
		return nil
	}
	var told *ServersUpdate
	controller.update.Wait(provisionalPatience, func() bool {
		told = controller.lists.fresh(controller.runtime.Now())
		return told != nil
	})
	return told
}

// noteListTrouble logs that the list can't be read, and that it can again, once.
func (controller *Controller) noteListTrouble(err error) {
	cause := ""
	if err != nil {
		cause = string(failure.KindOf(err))
	}
	controller.lists.mutex.Lock()
	told := controller.lists.failedFor == cause
	controller.lists.failedFor = cause
	controller.lists.mutex.Unlock()
	if !told {
		controller.observe("list_read", "trouble", err)
	}
}

// readReports asks all servers for their load, over and over, while this expediter
// leads and a courier follows reports.
func (controller *Controller) readReports() {
	for controller.runtime.Alive() {
		if !controller.lists.leading() {
			controller.terms.Wait(time.Minute, controller.lists.leading)
			continue
		}
		began := controller.runtime.Now()
		if wanted := controller.lists.wanted(began); len(wanted) > 0 {
			controller.askAll(wanted)
			controller.lists.round(controller.runtime.Now())
			controller.update.Broadcast()
		}
		pause := reportPause
		if controller.lists.calm(controller.runtime.Now()) {
			pause = calmReportPause
		}
		if left := pause - controller.runtime.Now().Sub(began); left > 0 {
			runtime.Sleep(controller.runtime, left)
		}
	}
}

// askAll asks servers at once and waits for those that answer soon.
func (controller *Controller) askAll(servers []membership.Server) {
	controller.lists.mutex.Lock()
	epoch := controller.lists.epoch
	controller.lists.mutex.Unlock()
	cond := controller.runtime.NewCond()
	var mutex sync.Mutex
	left := len(servers)
	for _, server := range servers {
		controller.runtime.Go(func() {
			asked := controller.runtime.Now()
			load, err := controller.options.Reports.Report(server, reportPatience)
			controller.lists.note(epoch, server.Name, asked, load, err)
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
func (controller *Controller) readNodes() {
	for controller.runtime.Alive() {
		nodes, err := controller.options.Directory.Nodes()
		if failure.KindOf(err) == failure.NoSuch {
			return
		}
		if err == nil {
			controller.setNodes(nodes)
		}
		runtime.Sleep(controller.runtime, nodesPause)
	}
}
