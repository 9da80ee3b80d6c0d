package simulation

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/membership"
)

// Incident is an incident of a fleet with a Layout: how long each reaction to it took, and the
// traffic between nodes meanwhile. A time is negative if the reaction did not come within
// incidentTimeout, and zero if it was not awaited.
type Incident struct {
	Name  string
	Times int
	// NewLeader is the time until a controller leads again, RolesMoved until the roles of lost
	// nodes have other holders, InForce until a change that is made at once is in force, LeasesHeld
	// until every running node has a lease, and CoreComplete until the core has all replicas and
	// witnesses. If the incident is repeated, each of these fields is the longest of the measured
	// times.
	NewLeader, RolesMoved, InForce, LeasesHeld, CoreComplete time.Duration
	// InForceMean is the mean time until a change is in force, over all changes of the incident.
	InForceMean time.Duration
	// Span is how long the incident was observed, Traffic the traffic in this time, and Rest
	// the traffic of a fleet without incidents in a time of the same length.
	Span    time.Duration
	Traffic Traffic
	Rest    Traffic
}

// incidentTimeout is how long the simulation waits for a reaction to an incident.
const incidentTimeout = 60 * time.Second

// Incidents starts a fleet with a Layout and runs, one after another, the incidents that such a fleet
// may have in a year. Lost machines and cut links are unavailable for outage, except that a single
// router's machine is lost routerLosses times, for 15 seconds each time. Twice as many routers are
// restarted.
func (w *World) Incidents(outage time.Duration, routerLosses int) []Incident {
	log := &incidentLog{world: w}
	log.record(Incident{Name: "the fleet starts"}, w.startFleet)
	log.record(Incident{Name: "at rest"}, func(*Incident) { w.run(w.now + 10*time.Second) })
	log.rest = log.incidents[1]
	log.record(Incident{Name: "single changes", Times: 20}, w.changeOneByOne)
	log.record(Incident{Name: "a storm of eight operators, 10 s"}, w.changeConcurrently)
	log.record(Incident{Name: "a node restarted", Times: 2 * routerLosses}, w.restartNodes)
	log.record(Incident{Name: "a node's machine lost", Times: routerLosses}, func(incident *Incident) {
		for range incident.Times {
			w.loseMachines(incident, []*machine{w.anyNode(membership.Router)}, 15*time.Second)
		}
	})
	log.record(Incident{Name: "the primary's machine lost"},
		func(incident *Incident) { w.loseMachines(incident, []*machine{w.primary()}, outage) })
	log.record(Incident{Name: "the backup's machine lost"},
		func(incident *Incident) { w.loseMachines(incident, []*machine{w.backup()}, outage) })
	log.record(Incident{Name: "a rack of ten nodes and the backup lost"},
		func(incident *Incident) { w.loseMachines(incident, w.rackOfBackup(), outage) })
	log.record(Incident{Name: "the primary's zone lost"}, func(incident *Incident) {
		w.loseMachines(incident, w.inZones([]string{w.primary().zone}), outage)
	})
	log.record(Incident{Name: "a region without the primary cut off"}, func(incident *Incident) {
		w.partition(incident, func(region int) bool {
			return region == (w.layout.region(w.primary().zone)+1)%len(w.layout.Zones)
		}, outage)
	})
	log.record(Incident{Name: "the primary's region cut off"}, func(incident *Incident) {
		own := w.layout.region(w.primary().zone)
		w.partition(incident, func(region int) bool { return region == own }, outage)
	})
	log.record(Incident{Name: "all regions cut off from each other"}, func(incident *Incident) { w.partition(incident, nil, outage) })
	w.endAll()
	return log.incidents
}

// incidentLog records incidents and the traffic during each.
type incidentLog struct {
	world     *World
	incidents []Incident
	// rest is the recorded incident "at rest".
	rest Incident
}

// record runs an incident and adds it to the log.
func (l *incidentLog) record(incident Incident, run func(incident *Incident)) {
	before, began := l.world.totalTraffic(), l.world.now
	run(&incident)
	after := l.world.totalTraffic()
	incident.Span = l.world.now - began
	incident.Traffic = Traffic{after.Messages - before.Messages, after.Bytes - before.Bytes}
	if l.rest.Span > 0 && l.rest.Traffic != (Traffic{}) {
		share := float64(incident.Span) / float64(l.rest.Span)
		incident.Rest = Traffic{int(float64(l.rest.Traffic.Messages) * share), int(float64(l.rest.Traffic.Bytes) * share)}
	}
	incident.Times = max(incident.Times, 1)
	l.incidents = append(l.incidents, incident)
	l.world.Log(fmt.Sprintf("%+v", incident))
}

// startFleet starts all machines within two seconds.
func (w *World) startFleet(incident *Incident) {
	began := w.now
	for _, m := range w.machines {
		w.outside.Go(func() {
			w.wait(0, 2000)
			w.start(m)
		})
	}
	w.run(w.now + 2100*time.Millisecond)
	incident.NewLeader = w.timeUntil(began, w.hasLeader)
	incident.LeasesHeld = w.timeUntil(began, w.allHaveLeases)
	incident.CoreComplete = w.timeUntil(began, w.coreComplete)
	incident.InForce = w.editUntilAccepted(w.now, w.configuration())
	// Wait until all roles are assigned, and then until nodes that started late have taken over
	// their roles.
	w.timeUntil(w.now, func() bool { return w.rolesAssigned(nil) })
	w.run(w.now + 20*time.Second)
}

// changeOneByOne makes changes with a pause between them.
func (w *World) changeOneByOne(incident *Incident) {
	for range incident.Times {
		w.timeEdit(incident)
		w.run(w.now + 200*time.Millisecond)
	}
}

// changeConcurrently lets eight operators change the configuration at the same time, for ten seconds.
func (w *World) changeConcurrently(incident *Incident) {
	const operators = 8
	ends := w.now + 10*time.Second
	left := operators
	incident.Times = 0
	for operator := range operators {
		w.outside.Go(func() {
			for number := 0; w.now < ends; number++ {
				began := w.now
				if w.requestEdit(w.harmlessEdit("storm-"+strconv.Itoa(operator), number)) == "accepted" {
					incident.Times++
					incident.InForceMean += w.now - began
					incident.InForce = max(incident.InForce, w.now-began)
				}
			}
			left--
		})
	}
	w.timeUntil(w.now, func() bool { return left == 0 })
	incident.InForceMean /= time.Duration(max(incident.Times, 1))
}

// restartNodes kills routers, one after another, and starts each again 0.3 s later.
func (w *World) restartNodes(incident *Incident) {
	for range incident.Times {
		m := w.anyNode(membership.Router)
		w.kill(m)
		w.run(w.now + 300*time.Millisecond)
		began := w.now
		w.start(m)
		incident.LeasesHeld = longer(incident.LeasesHeld, w.timeUntil(began, w.allHaveLeases))
		w.run(w.now + 500*time.Millisecond)
	}
}

// rackOfBackup returns the backup's machine and ten routers of its zone.
func (w *World) rackOfBackup() []*machine {
	const routers = 10
	rack := []*machine{w.backup()}
	for _, m := range w.nodes(membership.Router) {
		if m.zone == rack[0].zone && len(rack) <= routers {
			rack = append(rack, m)
		}
	}
	return rack
}

// longer returns the longer of two times, or -1 if either is negative.
func longer(left, right time.Duration) time.Duration {
	if left < 0 || right < 0 {
		return -1
	}
	return max(left, right)
}

// timeUntil runs the world until the condition holds and returns the time since began, or -1 if
// the condition does not hold within incidentTimeout.
func (w *World) timeUntil(began time.Duration, condition func() bool) time.Duration {
	for ends := w.now + incidentTimeout; !condition(); {
		if w.now >= ends {
			return -1
		}
		w.run(w.now + 10*time.Millisecond)
	}
	return w.now - began
}

// hasLeader reports whether a controller leads.
func (w *World) hasLeader() bool {
	for _, m := range w.nodes(membership.Controller) {
		if m.incarnation != nil && !m.incarnation.ended && m.control != nil {
			if _, _, err := m.control.Leading(); err == nil {
				return true
			}
		}
	}
	return false
}

// backup returns the machine of the primary's backup, or any controller if there is no such machine.
func (w *World) backup() *machine {
	members := w.primary().control.Coordinator().Membership()
	if m := w.machineNamed(w.nameAt(members.Backup.Address)); m != nil {
		return m
	}
	return w.anyNode(membership.Controller)
}

// allHaveLeases reports whether every running router has a lease.
func (w *World) allHaveLeases() bool {
	for _, m := range w.nodes(membership.Router) {
		if m.incarnation != nil && !m.incarnation.ended && !m.incarnation.Now().Before(m.router.Core().LeaseEnds()) {
			return false
		}
	}
	return true
}

// rolesAssigned reports whether a primary lists at least one role more than the platform has servers,
// and none of the lost machines holds a role.
func (w *World) rolesAssigned(lost []*machine) bool {
	primary := w.primary()
	if primary.control == nil {
		return false
	}
	_, view, err := primary.control.Leading()
	if err != nil {
		return false
	}
	state, err := view.State()
	if err != nil || len(state.Roles.Roles) < len(w.platform.servers)+1 {
		return false
	}
	names := map[string]bool{}
	for _, m := range lost {
		names[m.name] = true
	}
	for _, role := range state.Roles.Roles {
		if names[role.Holder] {
			return false
		}
	}
	return true
}

// harmlessEdit returns a change without an effect on traffic, because no zone has the given name: if
// number is even, the change evacuates the zone; if number is odd, it ends the zone's evacuation.
func (w *World) harmlessEdit(name string, number int) controlplane.Edit {
	edit := controlplane.Edit{
		Change:          name + "-" + w.nonce(),
		Digest:          name,
		ValidatesItself: true,
		Apply:           func(text []byte) ([]byte, error) { return config.Evacuate(text, name, "rehearsal") },
	}
	if number%2 == 1 {
		edit.Apply = func(text []byte) ([]byte, error) { return config.EndEvacuation(text, name) }
	}
	return edit
}

// configuration returns the change that makes the fleet's first configuration.
func (w *World) configuration() controlplane.Edit {
	text := `{"services":{"chat":{}},"routes":{`
	for number := range w.layout.Routes {
		text += `"route-` + strconv.Itoa(number+1) + `":{"order":7,"match":{"service":"chat","prefix":"prefix-` +
			strconv.Itoa(number+1) + `"},"to":{"home_first":true}},`
	}
	text += `"all":{"order":9,"to":{"home_first":true}}}}`
	return controlplane.Edit{
		Change: "first",
		Digest: "first",
		Apply:  func([]byte) ([]byte, error) { return []byte(text), nil },
	}
}

// editUntilAccepted retries a change until it is accepted and returns the time since began, or -1
// if the change is not accepted within incidentTimeout.
func (w *World) editUntilAccepted(began time.Duration, edit controlplane.Edit) time.Duration {
	done := false
	w.outside.Go(func() {
		for ends := w.now + incidentTimeout; w.now < ends && !done; {
			if done = w.requestEdit(edit) == "accepted"; !done {
				w.wait(50, 50)
			}
		}
	})
	return w.timeUntil(began, func() bool { return done })
}

// timeEdit makes one change and measures the time until the change is in force; the time is -1 if the
// change is not in force within incidentTimeout. InForce becomes the longest of the measured times, or
// -1 once any of them is -1. InForceMean is the sum of the times divided by Times; a time of -1 adds
// nothing to the sum if Times is greater than one, because integer division rounds -1/Times to zero.
// Consecutive calls may make the same change, because the number passed to harmlessEdit is the number
// of different situations encountered so far.
func (w *World) timeEdit(incident *Incident) {
	took := w.editUntilAccepted(w.now, w.harmlessEdit("nowhere", len(w.encounters)))
	incident.InForce = longer(incident.InForce, took)
	incident.InForceMean += took / time.Duration(max(incident.Times, 1))
}

// loseMachines powers machines off, makes a change as soon as a controller leads, and starts the
// machines again when they have been off for the given length of time. A change that does not come
// into force in time is recorded as by timeEdit.
func (w *World) loseMachines(incident *Incident, lost []*machine, length time.Duration) {
	began := w.now
	for _, m := range lost {
		w.powerOff(m.name)
	}
	incident.NewLeader = longer(incident.NewLeader, w.timeUntil(began, w.hasLeader))
	took := w.editUntilAccepted(began, w.harmlessEdit("nowhere-"+w.nonce(), 0))
	incident.InForce = longer(incident.InForce, took)
	incident.InForceMean += took / time.Duration(max(incident.Times, 1))
	incident.RolesMoved = longer(incident.RolesMoved, w.timeUntil(began, func() bool { return w.rolesAssigned(lost) }))
	incident.CoreComplete = longer(incident.CoreComplete, w.timeUntil(began, w.coreComplete))
	w.run(max(w.now, began+length))
	for _, m := range lost {
		w.start(m)
	}
	incident.LeasesHeld = longer(incident.LeasesHeld, w.timeUntil(w.now, w.allHaveLeases))
	w.timeUntil(w.now, w.coreComplete)
	w.run(w.now + 10*time.Second)
}

// inZones returns all machines of the given zones.
func (w *World) inZones(zones []string) []*machine {
	var found []*machine
	for _, m := range w.nodes("") {
		if slices.Contains(zones, m.zone) {
			found = append(found, m)
		}
	}
	return found
}

// partition cuts the links between the regions for which cut returns true and all other regions,
// or the links between all regions if cut is nil. It restores the links after the given length of
// time. It makes a change while the links are cut, or after they are restored if cut is nil.
func (w *World) partition(incident *Incident, cut func(region int) bool, length time.Duration) {
	began := w.now
	var links []*link
	for _, from := range w.machines {
		for _, to := range w.machines {
			source, target := w.layout.region(from.zone), w.layout.region(to.zone)
			if source != target && (cut == nil || cut(source) != cut(target)) {
				links = append(links, w.link(from.name, to.name))
			}
		}
	}
	for _, l := range links {
		l.cut = true
	}
	if cut != nil {
		w.run(w.now + 10*time.Millisecond)
		// The new leader should be in a region that is not cut off. After 5 seconds any leader counts.
		incident.NewLeader = w.timeUntil(began, func() bool {
			return w.hasLeader() && !cut(w.layout.region(w.primary().zone)) || w.hasLeader() && w.now-began > 5*time.Second
		})
		incident.InForce = w.editUntilAccepted(began, w.harmlessEdit("nowhere-"+w.nonce(), 0))
		incident.InForceMean = incident.InForce
	}
	w.run(max(w.now, began+length))
	healed := w.now
	for _, l := range links {
		l.cut = false
	}
	incident.LeasesHeld = w.timeUntil(healed, w.allHaveLeases)
	incident.CoreComplete = w.timeUntil(healed, w.coreComplete)
	if cut == nil {
		incident.InForce = w.editUntilAccepted(healed, w.harmlessEdit("nowhere-"+w.nonce(), 0))
		incident.InForceMean = incident.InForce
	}
	w.run(w.now + 10*time.Second)
}

// WriteIncidents writes incidents as a table.
func WriteIncidents(target io.Writer, incidents []Incident) error {
	if _, err := fmt.Fprintln(target,
		`| incident | times | new leader | roles moved | change, mean | longest | all leases | core complete |`+
			` observed | messages | bytes | at rest in this time, messages | bytes |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |`); err != nil {
		return err
	}
	seconds := func(length time.Duration) string {
		switch {
		case length < 0:
			return "never"
		case length == 0:
			return "-"
		}
		return strconv.FormatFloat(length.Seconds(), 'f', 2, 64) + " s"
	}
	for _, incident := range incidents {
		if _, err := fmt.Fprintf(target, "| %s | %d | %s | %s | %s | %s | %s | %s | %s | %d | %d kB | %d | %d kB |\n",
			incident.Name, incident.Times, seconds(incident.NewLeader), seconds(incident.RolesMoved),
			seconds(incident.InForceMean), seconds(incident.InForce), seconds(incident.LeasesHeld),
			seconds(incident.CoreComplete), seconds(incident.Span), incident.Traffic.Messages, incident.Traffic.Bytes/1000,
			incident.Rest.Messages, incident.Rest.Bytes/1000); err != nil {
			return err
		}
	}
	return nil
}
