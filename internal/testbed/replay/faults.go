package replay

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// faultBodies are the troubles and the planned work of a day, by their kind.
var faultBodies = map[string]func(day *Day, lifetime context.Context, fault Fault){
	"burst": (*Day).burst, "srv_crash": (*Day).crashServers, "release": (*Day).release, "answer_lost": (*Day).loseAnswers, "garble": (*Day).garbleAnswers,
	"node_kill": (*Day).killMachines, "node_freeze": (*Day).freezeMachines, "roll_term": (*Day).roll, "herd_kill": (*Day).killHerd,
	"seed_turnover": (*Day).turnSeedsOver, "replace_core": (*Day).replaceCore, "after_ack_wipe": (*Day).wipeAfterAnswer, "after_ack_kill": (*Day).wipeAfterAnswer,
	"config_change": (*Day).changeOnce, "config_storm": (*Day).storm, "config_race": (*Day).race, "bad_config": (*Day).sendInvalid, "big_config": (*Day).growConfiguration,
	"kv_slow": (*Day).slowMoves, "handle_short": (*Day).lapseHandles, "evacuate": (*Day).evacuateZone,
	"zone_loss": (*Day).loseZone, "srv_flap": (*Day).flap, "srv_grey": (*Day).failInPart, "srv_lying_health": (*Day).lieAboutHealth, "retry_abuse": (*Day).abuseRetries,
	"hup": (*Day).reloadAll,
}

// closings are the kinds of closing faults.
var closings = map[string]func(day *Day, down time.Duration){
	"kill_all": (*Day).killAll, "power_off_all": (*Day).killAll, "wipe_after_ack": (*Day).wipeOne,
}

// FaultKinds lists the kinds of faults that a day may have.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultBodies)) }

// burst presses for a while.
func (day *Day) burst(lifetime context.Context, fault Fault) {
	day.Clients.press(fault.Class, fault.timesOr(2))
	sleep(lifetime, fault.lasts())
	day.Clients.press("", 1)
}

// drawn picks servers with the fault's own luck.
func (day *Day) drawn(fault Fault, share float64) []*modelServer {
	return day.ServerPool.draw(fault.Service, fault.shareOr(share), rand.New(rand.NewPCG(day.seed, uint64(fault.At*1000))))
}

// misbehaveFor has servers misbehaveFor for a while.
func (day *Day) misbehaveFor(lifetime context.Context, fault Fault, share float64, begin func(m *misbehaviour)) {
	servers := day.drawn(fault, share)
	for _, server := range servers {
		server.misbehave(begin)
	}
	sleep(lifetime, fault.lasts())
	for _, server := range servers {
		server.misbehave(func(own *misbehaviour) { *own = misbehaviour{} })
	}
}

// crashServers has servers crash and come back cold, or be silent for a while.
func (day *Day) crashServers(lifetime context.Context, fault Fault) {
	if fault.says("dark") {
		day.misbehaveFor(lifetime, fault, 0.15, func(m *misbehaviour) { m.dark = true })
		return
	}
	for _, server := range day.drawn(fault, 0.15) {
		phase := server.playing()
		day.ServerPool.remove(server)
		if fault.says("gone") {
			day.reuseAddress(lifetime, server)
			continue
		}
		if sleep(lifetime, fault.lasts()) {
			_, _ = day.ServerPool.add(day.Site.shapeOf(server.Service), server.Zone, phase, true)
		}
	}
}

func (m *modelServer) playing() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.phase
}

// release replaces servers one after another: the new one comes first, the old one is
// listed as leaving.
func (day *Day) release(lifetime context.Context, fault Fault) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for _, server := range day.drawn(fault, 0.5) {
		if _, err := day.ServerPool.add(day.Site.shapeOf(server.Service), server.Zone, server.playing(), true); err != nil {
			return
		}
		leaving.Go(func() {
			day.ServerPool.drain(server, time.Second)
			day.reuseAddress(lifetime, server)
		})
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// reuseAddress has a server of another service begin where one has ended.
func (day *Day) reuseAddress(lifetime context.Context, old *modelServer) {
	if !sleep(lifetime, day.Site.Terms.AddressReuse) {
		return
	}
	for _, service := range day.Site.Services {
		if service.Name != old.Service && service.Engine.Plain == 0 {
			_, _ = day.ServerPool.addAt(old.Address, service, old.Zone, phaseDecode, true)
			return
		}
	}
}

// flap has servers go down and come up again, by turns.
func (day *Day) flap(lifetime context.Context, fault Fault) {
	ends := time.Now().Add(fault.lasts())
	servers := day.drawn(fault, 0.1)
	for time.Now().Before(ends) {
		for position, server := range servers {
			phase := server.playing()
			day.ServerPool.remove(server)
			if !sleep(lifetime, fault.gap()) {
				return
			}
			if next, err := day.ServerPool.addAt(server.Address, day.Site.shapeOf(server.Service), server.Zone, phase, true); err == nil {
				servers[position] = next
			}
		}
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

func (day *Day) failInPart(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.2, func(m *misbehaviour) { m.fails = fault.timesOr(0.5) })
}

func (day *Day) lieAboutHealth(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.lies = true })
}

// abuseRetries has clients try again at once and often.
func (day *Day) abuseRetries(lifetime context.Context, fault Fault) {
	day.Clients.abuse(true)
	sleep(lifetime, fault.lasts())
	day.Clients.abuse(false)
}

// loseZone takes a zone's machines and servers away for a while.
func (day *Day) loseZone(lifetime context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	zone := fault.Zone
	if zone == "" {
		zone = day.Site.Zones[day.seed%uint64(len(day.Site.Zones))]
	}
	servers := slices.DeleteFunc(day.ServerPool.all(), func(server *modelServer) bool { return server.Zone != zone })
	phases := make([]string, len(servers))
	for position, server := range servers {
		phases[position] = server.playing()
		day.ServerPool.remove(server)
	}
	day.restartAll(slices.DeleteFunc(day.all(), func(machine *Machine) bool { return machine.Zone != zone }), fault.lasts())
	for position, server := range servers {
		_, _ = day.ServerPool.add(day.Site.shapeOf(server.Service), zone, phases[position], true)
	}
}

func (day *Day) loseAnswers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.5, func(m *misbehaviour) { m.loses = fault.timesOr(0.03) })
}

func (day *Day) garbleAnswers(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.5, func(m *misbehaviour) {
		m.spoils, m.late = fault.timesOr(0.02), fault.says("extra")
	})
}

func (day *Day) slowMoves(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.slowed = fault.timesOr(8) })
}

func (day *Day) lapseHandles(lifetime context.Context, fault Fault) {
	day.misbehaveFor(lifetime, fault, 0.3, func(m *misbehaviour) { m.lapses = true })
}

// chosen picks machines: a share or a count of them, of the core or of those without a
// disk. Of the core one is picked.
func (day *Day) chosen(fault Fault, share float64) []*Machine {
	machines := slices.DeleteFunc(day.all(), func(machine *Machine) bool { return machine.Core != (fault.On == "core") })
	day.mutex.Lock()
	day.random.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	day.mutex.Unlock()
	count := fault.Count
	if count == 0 {
		count = max(1, int(fault.shareOr(share)*float64(len(machines))+0.5))
	}
	if fault.On == "core" {
		count = 1
	}
	return machines[:min(count, len(machines))]
}

// loseCore takes the turn of losing a machine of the core: only as many as the fault
// budget allows are away at once, and one that is back has its time to catch up.
func (day *Day) loseCore(core bool) func() {
	if !core {
		return func() {}
	}
	day.coreTurn.Lock()
	sleep(day.lifetime, time.Until(day.coreBack.Add(day.Site.Terms.CatchUp)))
	return func() {
		day.coreBack = time.Now()
		day.coreTurn.Unlock()
	}
}

// killMachines kills machines; they come back after a while.
func (day *Day) killMachines(_ context.Context, fault Fault) {
	back := day.loseCore(fault.On == "core")
	defer back()
	var killing sync.WaitGroup
	for _, machine := range day.leading(fault) {
		killing.Go(func() { day.restartMachines(machine, fault.lasts(), false) })
	}
	killing.Wait()
}

// leading picks machines; with "leader" it is the one of the core that acknowledges.
func (day *Day) leading(fault Fault) []*Machine {
	if fault.On == "core" && fault.says("leader") {
		if leader := day.machineAt(day.change(day.lifetime, "idle").node); leader != nil {
			return []*Machine{leader}
		}
	}
	return day.chosen(fault, 0.1)
}

// bounce kills a machine and starts it again later, perhaps with an empty disk.
func (day *Day) restartMachines(machine *Machine, down time.Duration, wipes bool) {
	machine.kill()
	if wipes {
		_ = machine.wipe()
	}
	machine.mutex.Lock()
	machine.first = false
	machine.mutex.Unlock()
	if sleep(day.lifetime, down) {
		_ = machine.up()
	}
}

func (day *Day) freezeMachines(_ context.Context, fault Fault) {
	back := day.loseCore(fault.On == "core")
	defer back()
	machines := day.chosen(fault, 0.1)
	for _, machine := range machines {
		machine.freeze()
	}
	sleep(day.lifetime, fault.lasts())
	for _, machine := range machines {
		machine.thaw()
	}
}

// roll stops machines with SIGTERM and starts them again, one after another.
func (day *Day) roll(lifetime context.Context, fault Fault) {
	machines := day.all()
	day.mutex.Lock()
	day.random.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	day.mutex.Unlock()
	count := max(1, int(fault.shareOr(1)*float64(len(machines))+0.5))
	for _, machine := range machines[:count] {
		back := day.loseCore(machine.Core)
		machine.mutex.Lock()
		machine.first = false
		machine.mutex.Unlock()
		machine.stop()
		sleep(day.lifetime, 300*time.Millisecond)
		_ = machine.up()
		back()
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// reloadAll tells processes to read their settings again, whatever they are doing.
func (day *Day) reloadAll(lifetime context.Context, fault Fault) {
	machines := day.all()
	count := max(1, int(fault.shareOr(0.3)*float64(len(machines))+0.5))
	for _, machine := range machines[:count] {
		machine.reload()
		if fault.Gap > 0 && !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// killHerd kills many processes at once, whatever the core may lose; they come back with
// their disks.
func (day *Day) killHerd(_ context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	machines := day.all()
	if fault.On == "core" {
		machines = day.core()
	} else {
		day.mutex.Lock()
		day.random.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
		day.mutex.Unlock()
		machines = machines[:max(1, int(fault.shareOr(0.6)*float64(len(machines))+0.5))]
	}
	day.restartAll(machines, min(fault.lasts(), time.Second))
}

func (day *Day) restartAll(machines []*Machine, down time.Duration) {
	var killing sync.WaitGroup
	for _, machine := range machines {
		killing.Go(func() { day.restartMachines(machine, down, false) })
	}
	killing.Wait()
}

// turnSeedsOver names other seeds in the settings of all machines.
func (day *Day) turnSeedsOver(_ context.Context, _ Fault) {
	seeds := day.controls(day.Site.Terms.SeedLag)
	slices.Reverse(seeds)
	for _, machine := range day.all() {
		_ = machine.rewriteSettings(seeds[:min(seedCount, len(seeds))])
	}
}

// replaceCore has one machine of the core go for good; an empty one comes at another
// address.
func (day *Day) replaceCore(_ context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	old := day.leading(Fault{On: "core", How: fault.How})[0]
	begin := func() {
		machine := day.layOut(old.Zone, 0, true)
		machine.listed, machine.seeds = time.Now(), old.seeds
		_ = machine.up()
		day.Balancer.open(machine.target())
	}
	if fault.says("planned") {
		begin()
		sleep(day.lifetime, seconds(fault.timesOr(1)))
		old.stop()
		old.leave()
	} else {
		old.kill()
		old.leave()
		if sleep(day.lifetime, seconds(fault.timesOr(1))) {
			begin()
		}
	}
	sleep(day.lifetime, day.Site.Terms.CatchUp)
}

// wipeAfterAnswer kills the machine that acknowledges a change as soon as it has, and
// takes its disk when the fault says so.
func (day *Day) wipeAfterAnswer(_ context.Context, fault Fault) {
	back := day.loseCore(true)
	defer back()
	given := day.change(day.lifetime, "idle")
	machine := day.machineAt(given.node)
	if machine == nil {
		machine = day.core()[0]
	}
	day.restartMachines(machine, fault.lasts(), strings.HasSuffix(fault.Kind, "wipe"))
}

// close strikes at the end of the day, right after a change was acknowledged.
func (day *Day) close(lifetime context.Context, closing Closing) {
	back := day.loseCore(true)
	defer back()
	sleep(lifetime, day.Site.Terms.CatchUp)
	day.change(lifetime, "idle")
	day.logf("%6.1f s  closing: %s", time.Since(day.began).Seconds(), closing.Kind)
	day.Events.Append(Event{Kind: ClosingFault, Cause: closing.Kind})
	closings[closing.Kind](day, seconds(max(closing.Down, 0.3)))
	day.Events.Append(Event{Kind: ClosingBack})
}

// killAll kills every process at once.
func (day *Day) killAll(down time.Duration) { day.restartAll(day.all(), down) }

// wipeOne takes the disk of one machine of the core while all others are killed.
func (day *Day) wipeOne(down time.Duration) {
	unlucky := day.core()[day.random.IntN(len(day.core()))]
	var killing sync.WaitGroup
	for _, machine := range day.all() {
		killing.Go(func() { day.restartMachines(machine, down, machine == unlucky) })
	}
	killing.Wait()
}

// change makes a change of a sort on top of the newest revision; it gives how it was
// answered.
func (day *Day) change(lifetime context.Context, how string) answer {
	operators := day.Operators
	patience, end := context.WithTimeout(lifetime, 4*day.Site.Terms.Acknowledge)
	defer end()
	for range 3 {
		base := operators.known()
		next := operators.draft(base)
		day.alter(&next, how)
		given := operators.propose(patience, base, next, next.Revision%2 == 0, false, nil)
		if given.outcome == acknowledged {
			return given
		}
		operators.resync(patience)
	}
	return answer{outcome: unclear}
}

// alter makes the changes of one sort to a draft.
func (day *Day) alter(next *Version, how string) {
	class := day.Site.Classes[0]
	busy := "r-" + class.Name
	rule := next.Routes[busy]
	number := strconv.Itoa(next.Revision)
	switch how {
	case "weights":
		rule.Services = map[string]int{day.Site.Services[0].Name: 90, day.Site.Services[1].Name: 10}
	case "route":
		rule.Services = map[string]int{day.Site.Services[next.Revision%2].Name: 1}
	case "timeout":
		rule.Deadline = int(class.Deadline.Milliseconds()) - 100*(next.Revision%5)
	default:
		for name := range next.Routes {
			if strings.HasPrefix(name, "r-late-") && len(next.Routes) > len(day.Site.Classes)+idleRoutes+3 {
				delete(next.Routes, name)
				break
			}
		}
		name, idle := idleRule(day.Site, "r-late-"+number)
		next.Routes[name] = idle
		day.Operators.watch(name, idle)
	}
	next.Routes[busy] = rule
}

func (day *Day) changeOnce(lifetime context.Context, fault Fault) { day.change(lifetime, fault.How) }

// storm makes changes in quick succession.
func (day *Day) storm(lifetime context.Context, fault Fault) {
	count := fault.Count
	if count == 0 {
		count = max(1, int(fault.lasts()/fault.gap()))
	}
	for number := range count {
		day.change(lifetime, []string{"idle", "timeout"}[number%2])
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// race has two operators make changes on top of the same revision.
func (day *Day) race(lifetime context.Context, fault Fault) {
	operators := day.Operators
	for range max(1, fault.Count) {
		base := operators.known()
		var racing sync.WaitGroup
		for range 2 {
			next := operators.draft(base)
			day.alter(&next, "idle")
			racing.Go(func() {
				patience, end := context.WithTimeout(lifetime, 4*day.Site.Terms.Acknowledge)
				defer end()
				operators.propose(patience, base, next, next.Revision%2 == 0, false, nil)
			})
		}
		racing.Wait()
		operators.resync(lifetime)
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// sendInvalid sends configurations that can't be.
func (day *Day) sendInvalid(lifetime context.Context, fault Fault) {
	ways := slices.Sorted(maps.Keys(spoilers))
	operators := day.Operators
	for number := range max(1, fault.Count) {
		way := fault.How
		if spoilers[way] == nil {
			way = ways[(number+int(day.seed))%len(ways)]
		}
		base := operators.known()
		next := operators.draft(base)
		name, rule := idleRule(day.Site, "r-bad-"+strconv.Itoa(next.Revision))
		next.Routes[name] = rule
		operators.watch(name, rule)
		patience, end := context.WithTimeout(lifetime, 2*day.Site.Terms.Acknowledge)
		operators.propose(patience, base, next, false, true, func(page map[string]any) []byte { return spoilers[way](page, base) })
		end()
		if !sleep(lifetime, fault.gap()) {
			return
		}
	}
}

// spoilers make a configuration invalid, each in its way.
var spoilers = map[string]func(page map[string]any, base Version) []byte{
	"cut_short": func(page map[string]any, _ Version) []byte {
		text, _ := json.Marshal(page)
		return text[:len(text)*2/3]
	},
	"unknown_service": func(page map[string]any, _ Version) []byte {
		first(page)["backend"] = "nowhere"
		delete(first(page), "split")
		return encoded(page)
	},
	"same_place": func(page map[string]any, _ Version) []byte {
		routes, _ := page["routes"].([]any)
		twin := maps.Clone(first(page))
		twin["name"] = "r-twin"
		page["routes"] = append(routes, twin)
		return encoded(page)
	},
	"no_weight": func(page map[string]any, _ Version) []byte {
		route := first(page)
		route["split"] = []any{map[string]any{"backend": route["backend"], "weight": 0}}
		delete(route, "backend")
		return encoded(page)
	},
	"no_timeout": func(page map[string]any, _ Version) []byte {
		first(page)["deadlineMs"] = 0
		return encoded(page)
	},
	"old_version": func(page map[string]any, base Version) []byte {
		page["revision"] = base.Revision
		return encoded(page)
	},
}

// first is the first route of a page that goes to one service.
func first(page map[string]any) map[string]any {
	routes, _ := page["routes"].([]any)
	for _, each := range routes {
		if route, fits := each.(map[string]any); fits && route["backend"] != nil {
			return route
		}
	}
	return map[string]any{}
}

func encoded(page map[string]any) []byte {
	text, _ := json.Marshal(page)
	return text
}

// growConfiguration adds many routes.
func (day *Day) growConfiguration(lifetime context.Context, fault Fault) {
	operators := day.Operators
	base := operators.known()
	next := operators.draft(base)
	for number := range max(1, fault.Count) {
		name, rule := idleRule(day.Site, "r-many-"+strconv.Itoa(next.Revision)+"-"+strconv.Itoa(number))
		next.Routes[name] = rule
		if number == 0 {
			operators.watch(name, rule)
		}
	}
	if operators.propose(lifetime, base, next, true, false, nil).outcome != acknowledged {
		operators.resync(lifetime)
	}
}

// evacuateZone keeps a zone's servers free of requests for a while.
func (day *Day) evacuateZone(lifetime context.Context, fault Fault) {
	zone := fault.Zone
	if zone == "" {
		zone = day.Site.Zones[day.seed%uint64(len(day.Site.Zones))]
	}
	if day.Operators.evacuate(lifetime, zone) && sleep(lifetime, fault.lasts()) {
		for _, server := range day.ServerPool.all() {
			if server.Zone == zone {
				server.cool()
			}
		}
		day.Operators.takeBack(lifetime, zone)
	}
}

// lastLines gives the end of a text.
func lastLines(text string, lines int) string {
	all := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
