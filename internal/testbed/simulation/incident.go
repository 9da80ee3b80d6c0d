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

// Incident is what happened to a laid-out fleet, how long each answer to it took, and
// what was said meanwhile. A time is negative when it did not come within the
// patience, and zero when it was not looked for.
type Incident struct {
	Name  string
	Times int
	// Led is until a controller leads again, Moved until the roles of lost nodes have
	// other holders, InForce until a change that is made at once is in force, Held until
	// every node that runs has a lease, Whole until the core has all replicas and witnesses.
	// Of several times the longest.
	Led, Moved, InForce, Held, Whole time.Duration
	// InForceMean is the mean of several changes.
	InForceMean time.Duration
	// Span is how long it was looked at, Traffic what was said, Rest what would have
	// been said in this time without it.
	Span    time.Duration
	Traffic Traffic
	Rest    Traffic
}

const incidentPatience = 60 * time.Second

// Incidents lets a laid-out fleet start and meet, one after another, what a year
// brings; lost is how long machines and links stay away, losses how many machines of
// nodes are lost one after another.
func (w *World) Incidents(lost time.Duration, losses int) []Incident {
	log := &incidentLog{world: w}
	log.record(Incident{Name: "the fleet starts"}, w.startFleet)
	log.record(Incident{Name: "at rest"}, func(*Incident) { w.run(w.now + 10*time.Second) })
	log.rest = log.incidents[1]
	log.record(Incident{Name: "single changes", Times: 20}, w.changeOneByOne)
	log.record(Incident{Name: "a storm of eight operators, 10 s"}, w.stormOfChanges)
	log.record(Incident{Name: "a node restarted", Times: 2 * losses}, w.restartNodes)
	log.record(Incident{Name: "a node's machine lost", Times: losses}, func(incident *Incident) {
		for range incident.Times {
			w.lose(incident, []*machine{w.anyNode(membership.Router)}, 15*time.Second)
		}
	})
	log.record(Incident{Name: "the primary's machine lost"},
		func(incident *Incident) { w.lose(incident, []*machine{w.primary()}, lost) })
	log.record(Incident{Name: "the backup's machine lost"},
		func(incident *Incident) { w.lose(incident, []*machine{w.backup()}, lost) })
	log.record(Incident{Name: "a rack of ten nodes and the backup lost"},
		func(incident *Incident) { w.lose(incident, w.rackOfBackup(), lost) })
	log.record(Incident{Name: "the primary's zone lost"}, func(incident *Incident) {
		w.lose(incident, w.inZones([]string{w.primary().zone}), lost)
	})
	log.record(Incident{Name: "a region without the primary apart"}, func(incident *Incident) {
		w.apart(incident, func(region int) bool {
			return region == (w.layout.region(w.primary().zone)+1)%len(w.layout.Zones)
		}, lost)
	})
	log.record(Incident{Name: "the primary's region apart"}, func(incident *Incident) {
		own := w.layout.region(w.primary().zone)
		w.apart(incident, func(region int) bool { return region == own }, lost)
	})
	log.record(Incident{Name: "all regions apart"}, func(incident *Incident) { w.apart(incident, nil, lost) })
	w.endAll()
	return log.incidents
}

// incidentLog records incidents and what was said meanwhile.
type incidentLog struct {
	world     *World
	incidents []Incident
	// rest is the incident "at rest", once it is recorded.
	rest Incident
}

// record has an incident happen.
func (l *incidentLog) record(incident Incident, act func(incident *Incident)) {
	before, began := l.world.sum(), l.world.now
	act(&incident)
	after := l.world.sum()
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
	incident.Led = w.since(began, w.hasLeader)
	incident.Held = w.since(began, w.allHaveLeases)
	incident.Whole = w.since(began, w.coreComplete)
	incident.InForce = w.changed(w.now, w.configuration())
	// Roles are given, and those who came late take theirs over.
	w.since(w.now, func() bool { return w.rolesSettled(nil) })
	w.run(w.now + 20*time.Second)
}

// changeOneByOne makes changes with a pause between them.
func (w *World) changeOneByOne(incident *Incident) {
	for range incident.Times {
		w.change(incident)
		w.run(w.now + 200*time.Millisecond)
	}
}

// stormOfChanges has eight operators make changes for ten seconds.
func (w *World) stormOfChanges(incident *Incident) {
	const operators = 8
	ends := w.now + 10*time.Second
	left := operators
	incident.Times = 0
	for operator := range operators {
		w.outside.Go(func() {
			for number := 0; w.now < ends; number++ {
				began := w.now
				if w.edit(w.nowhere("storm-"+strconv.Itoa(operator), number)) == "accepted" {
					incident.Times++
					incident.InForceMean += w.now - began
					incident.InForce = max(incident.InForce, w.now-began)
				}
			}
			left--
		})
	}
	w.since(w.now, func() bool { return left == 0 })
	incident.InForceMean /= time.Duration(max(incident.Times, 1))
}

// restartNodes kills routers and starts them again at once.
func (w *World) restartNodes(incident *Incident) {
	for range incident.Times {
		m := w.anyNode(membership.Router)
		w.kill(m)
		w.run(w.now + 300*time.Millisecond)
		began := w.now
		w.start(m)
		incident.Held = later(incident.Held, w.since(began, w.allHaveLeases))
		w.run(w.now + 500*time.Millisecond)
	}
}

// rackOfBackup is the backup's machine and ten routers of its zone.
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

func later(left, right time.Duration) time.Duration {
	if left < 0 || right < 0 {
		return -1
	}
	return max(left, right)
}

// since lets time pass until the condition holds and tells how long that was from the
// moment, or -1 when the patience ended.
func (w *World) since(from time.Duration, condition func() bool) time.Duration {
	for ends := w.now + incidentPatience; !condition(); {
		if w.now >= ends {
			return -1
		}
		w.run(w.now + 10*time.Millisecond)
	}
	return w.now - from
}

// hasLeader tells whether a controller leads.
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

// backup is the machine of the primary's backup.
func (w *World) backup() *machine {
	members := w.primary().control.Coordinator().Membership()
	if m := w.machineNamed(w.nameAt(members.Backup.Address)); m != nil {
		return m
	}
	return w.anyNode(membership.Controller)
}

// allHaveLeases tells whether every router that runs has a lease.
func (w *World) allHaveLeases() bool {
	for _, m := range w.nodes(membership.Router) {
		if m.incarnation != nil && !m.incarnation.ended && !m.incarnation.Now().Before(m.router.Core().LeaseEnds()) {
			return false
		}
	}
	return true
}

// rolesSettled tells whether every key has a holder and none of them is gone.
func (w *World) rolesSettled(gone []*machine) bool {
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
	for _, m := range gone {
		names[m.name] = true
	}
	for _, role := range state.Roles.Roles {
		if names[role.Holder] {
			return false
		}
	}
	return true
}

// nowhere is a change that takes nothing away: it evacuates a zone that is not there,
// or restores it.
func (w *World) nowhere(name string, number int) controlplane.Edit {
	edit := controlplane.Edit{
		Change:          name + "-" + w.nonce(),
		Digest:          name,
		ValidatesItself: true,
		Apply:           func(text []byte) ([]byte, error) { return config.Evacuate(text, name, "rehearsal") },
	}
	if number%2 == 1 {
		edit.Apply = func(text []byte) ([]byte, error) { return config.Restore(text, name) }
	}
	return edit
}

// configuration is the fleet's first.
func (w *World) configuration() controlplane.Edit {
	text := `{"services":{"chat":{}},"routes":{`
	for number := range w.layout.Routes {
		text += `"route-` + strconv.Itoa(number+1) + `":{"order":7,"match":{"service":"chat","prefix":"prefix-` + strconv.Itoa(number+1) + `"},"to":{"home_first":true}},`
	}
	text += `"all":{"order":9,"to":{"home_first":true}}}}`
	return controlplane.Edit{
		Change: "first",
		Digest: "first",
		Apply:  func([]byte) ([]byte, error) { return []byte(text), nil },
	}
}

// changed makes a change over and over until one is accepted, and tells how long that
// took from the moment.
func (w *World) changed(from time.Duration, edit controlplane.Edit) time.Duration {
	over := false
	w.outside.Go(func() {
		for ends := w.now + incidentPatience; w.now < ends && !over; {
			if over = w.edit(edit) == "accepted"; !over {
				w.wait(50, 50)
			}
		}
	})
	return w.since(from, func() bool { return over })
}

// change makes one change and adds how long it took.
func (w *World) change(incident *Incident) {
	took := w.changed(w.now, w.nowhere("nowhere", len(w.encounters)))
	incident.InForce = later(incident.InForce, took)
	incident.InForceMean += took / time.Duration(max(incident.Times, 1))
}

// lose takes machines away, makes a change at once, and gives them back.
func (w *World) lose(incident *Incident, gone []*machine, length time.Duration) {
	began := w.now
	for _, m := range gone {
		w.powerOff(m.name)
	}
	incident.Led = later(incident.Led, w.since(began, w.hasLeader))
	took := w.changed(began, w.nowhere("nowhere-"+w.nonce(), 0))
	incident.InForce = later(incident.InForce, took)
	incident.InForceMean += took / time.Duration(max(incident.Times, 1))
	incident.Moved = later(incident.Moved, w.since(began, func() bool { return w.rolesSettled(gone) }))
	incident.Whole = later(incident.Whole, w.since(began, w.coreComplete))
	w.run(max(w.now, began+length))
	for _, m := range gone {
		w.start(m)
	}
	incident.Held = later(incident.Held, w.since(w.now, w.allHaveLeases))
	w.since(w.now, w.coreComplete)
	w.run(w.now + 10*time.Second)
}

// inZones are all machines of some zones.
func (w *World) inZones(zones []string) []*machine {
	var found []*machine
	for _, m := range w.nodes("") {
		if slices.Contains(zones, m.zone) {
			found = append(found, m)
		}
	}
	return found
}

// apart cuts the regions that are told from all others, or all from each other, makes
// a change at once, and heals the links after the length.
func (w *World) apart(incident *Incident, cut func(region int) bool, length time.Duration) {
	began := w.now
	var links []*link
	for _, from := range w.machines {
		for _, to := range w.machines {
			here, there := w.layout.region(from.zone), w.layout.region(to.zone)
			if here != there && (cut == nil || cut(here) != cut(there)) {
				links = append(links, w.link(from.name, to.name))
			}
		}
	}
	for _, l := range links {
		l.cut = true
	}
	if cut != nil {
		w.run(w.now + 10*time.Millisecond)
		incident.Led = w.since(began, func() bool {
			return w.hasLeader() && !cut(w.layout.region(w.primary().zone)) || w.hasLeader() && w.now-began > 5*time.Second
		})
		incident.InForce = w.changed(began, w.nowhere("nowhere-"+w.nonce(), 0))
		incident.InForceMean = incident.InForce
	}
	w.run(max(w.now, began+length))
	healed := w.now
	for _, l := range links {
		l.cut = false
	}
	incident.Held = w.since(healed, w.allHaveLeases)
	incident.Whole = w.since(healed, w.coreComplete)
	if cut == nil {
		incident.InForce = w.changed(healed, w.nowhere("nowhere-"+w.nonce(), 0))
		incident.InForceMean = incident.InForce
	}
	w.run(w.now + 10*time.Second)
}

// WriteIncidents writes incidents as a table.
func WriteIncidents(target io.Writer, incidents []Incident) error {
	if _, err := fmt.Fprintln(target,
		"| what | times | led again | duties moved | change in force, mean | longest | all held | core whole | looked at | messages | bytes | at rest in this time, messages | bytes |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"); err != nil {
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
			incident.Name, incident.Times, seconds(incident.Led), seconds(incident.Moved),
			seconds(incident.InForceMean), seconds(incident.InForce), seconds(incident.Held), seconds(incident.Whole), seconds(incident.Span), incident.Traffic.Messages, incident.Traffic.Bytes/1000,
			incident.Rest.Messages, incident.Rest.Bytes/1000); err != nil {
			return err
		}
	}
	return nil
}
