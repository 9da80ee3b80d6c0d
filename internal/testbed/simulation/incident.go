package simulation

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/membership"
)

// Incident is what happened to a laid-out fleet, how long each answer to it took, and
// what was said meanwhile. A time is negative when it did not come within the
// patience, and zero when it was not looked for.
type Incident struct {
	Name  string
	Times int
	// Led is until an expediter leads again, Moved until the duties of lost nodes have
	// other holders, InForce until a change that is made at once is in force, Held until
	// every node that runs has a hold, Whole until the core has all copies and keepers.
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
func (world *World) Incidents(lost time.Duration, losses int) []Incident {
	var incidents []Incident
	var rest, none Traffic
	restSpan := time.Duration(0)
	record := func(incident Incident, act func(incident *Incident)) {
		before, began := world.sum(), world.now
		act(&incident)
		after := world.sum()
		incident.Span = world.now - began
		incident.Traffic = Traffic{after.Messages - before.Messages, after.Bytes - before.Bytes}
		if restSpan > 0 && rest != none {
			share := float64(incident.Span) / float64(restSpan)
			incident.Rest = Traffic{int(float64(rest.Messages) * share), int(float64(rest.Bytes) * share)}
		}
		incident.Times = max(incident.Times, 1)
		incidents = append(incidents, incident)
		world.Log(fmt.Sprintf("%+v", incident))
	}
	record(Incident{Name: "the fleet starts"}, func(incident *Incident) {
		began := world.now
		for _, machine := range world.machines {
			world.outside.Go(func() {
				world.wait(0, 2000)
				world.start(machine)
			})
		}
		world.run(world.now + 2100*time.Millisecond)
		incident.Led = world.since(began, world.led)
		incident.Held = world.since(began, world.held)
		incident.Whole = world.since(began, world.whole)
		incident.InForce = world.changed(world.now, world.configuration())
		// Duties are given, and those who came late take theirs over.
		world.since(world.now, func() bool { return world.rolesSettled(nil) })
		world.run(world.now + 20*time.Second)
	})
	record(Incident{Name: "at rest"}, func(*Incident) { world.run(world.now + 10*time.Second) })
	rest, restSpan = incidents[1].Traffic, incidents[1].Span
	record(Incident{Name: "single changes", Times: 20}, func(incident *Incident) {
		for range incident.Times {
			world.change(incident)
			world.run(world.now + 200*time.Millisecond)
		}
	})
	record(Incident{Name: "a storm of eight operators, 10 s"}, func(incident *Incident) {
		ends := world.now + 10*time.Second
		left := 8
		incident.Times = 0
		for operator := range 8 {
			world.outside.Go(func() {
				for number := 0; world.now < ends; number++ {
					began := world.now
					if world.edit(world.nowhere("storm-"+strconv.Itoa(operator), number)) == "accepted" {
						incident.Times++
						incident.InForceMean += world.now - began
						incident.InForce = max(incident.InForce, world.now-began)
					}
				}
				left--
			})
		}
		world.since(world.now, func() bool { return left == 0 })
		incident.InForceMean /= time.Duration(max(incident.Times, 1))
	})
	record(Incident{Name: "a node restarted", Times: 2 * losses}, func(incident *Incident) {
		for range incident.Times {
			machine := world.anyNode(membership.Router)
			world.kill(machine)
			world.run(world.now + 300*time.Millisecond)
			began := world.now
			world.start(machine)
			incident.Held = later(incident.Held, world.since(began, world.held))
			world.run(world.now + 500*time.Millisecond)
		}
	})
	record(Incident{Name: "a node's machine lost", Times: losses}, func(incident *Incident) {
		for range incident.Times {
			world.lose(incident, []*machine{world.anyNode(membership.Router)}, 15*time.Second)
		}
	})
	record(Incident{Name: "the primary's machine lost"}, func(incident *Incident) { world.lose(incident, []*machine{world.primary()}, lost) })
	record(Incident{Name: "the backup's machine lost"}, func(incident *Incident) { world.lose(incident, []*machine{world.backup()}, lost) })
	record(Incident{Name: "a rack of ten nodes and the backup lost"}, func(incident *Incident) {
		gone := []*machine{world.backup()}
		for _, machine := range world.nodes(membership.Router) {
			if machine.zone == gone[0].zone && len(gone) < 11 {
				gone = append(gone, machine)
			}
		}
		world.lose(incident, gone, lost)
	})
	record(Incident{Name: "the primary's zone lost"}, func(incident *Incident) {
		world.lose(incident, world.inZones([]string{world.primary().zone}), lost)
	})
	record(Incident{Name: "a region without the primary apart"}, func(incident *Incident) {
		world.apart(incident, func(region int) bool {
			return region == (world.layout.region(world.primary().zone)+1)%len(world.layout.Zones)
		}, lost)
	})
	record(Incident{Name: "the primary's region apart"}, func(incident *Incident) {
		own := world.layout.region(world.primary().zone)
		world.apart(incident, func(region int) bool { return region == own }, lost)
	})
	record(Incident{Name: "all regions apart"}, func(incident *Incident) { world.apart(incident, nil, lost) })
	for _, incarnation := range world.incarnations {
		if !incarnation.ended {
			incarnation.ended = true
			world.dead = append(world.dead, incarnation)
		}
	}
	world.bury()
	return incidents
}

func later(left, right time.Duration) time.Duration {
	if left < 0 || right < 0 {
		return -1
	}
	return max(left, right)
}

// since lets time pass until the condition holds and tells how long that was from the
// moment, or -1 when the patience ended.
func (world *World) since(from time.Duration, holds func() bool) time.Duration {
	for ends := world.now + incidentPatience; !holds(); {
		if world.now >= ends {
			return -1
		}
		world.run(world.now + 10*time.Millisecond)
	}
	return world.now - from
}

// led tells whether an expediter leads.
func (world *World) led() bool {
	for _, machine := range world.nodes(membership.Controller) {
		if machine.incarnation != nil && !machine.incarnation.ended && machine.control != nil {
			if _, _, err := machine.control.Ruling(); err == nil {
				return true
			}
		}
	}
	return false
}

// backup is the machine of the primary's backup.
func (world *World) backup() *machine {
	m := world.primary().control.Coordinator().Membership()
	if machine := world.machineNamed(world.nameAt(m.Backup.Address)); machine != nil {
		return machine
	}
	return world.anyNode(membership.Controller)
}

// held tells whether every courier that runs has a hold.
func (world *World) held() bool {
	for _, machine := range world.nodes(membership.Router) {
		if machine.incarnation != nil && !machine.incarnation.ended && !machine.incarnation.Now().Before(machine.router.Core().HoldEnds()) {
			return false
		}
	}
	return true
}

// rolesSettled tells whether every key has a holder and none of them is gone.
func (world *World) rolesSettled(gone []*machine) bool {
	primary := world.primary()
	if primary.control == nil {
		return false
	}
	_, view, err := primary.control.Ruling()
	if err != nil {
		return false
	}
	state, err := view.State()
	if err != nil || len(state.Rota.Roles) < len(world.platform.servers)+1 {
		return false
	}
	names := map[string]bool{}
	for _, machine := range gone {
		names[machine.name] = true
	}
	for _, role := range state.Rota.Roles {
		if names[role.Holder] {
			return false
		}
	}
	return true
}

// nowhere is a change that takes nothing away: it evacuates a zone that is not there,
// or restores it.
func (world *World) nowhere(name string, number int) hatch.Edit {
	edit := hatch.Edit{Change: name + "-" + world.nonce(), Digest: name, Sound: true, Apply: func(text []byte) ([]byte, error) { return config.Evacuate(text, name, "rehearsal") }}
	if number%2 == 1 {
		edit.Apply = func(text []byte) ([]byte, error) { return config.Restore(text, name) }
	}
	return edit
}

// configuration is the fleet's first.
func (world *World) configuration() hatch.Edit {
	text := `{"services":{"chat":{}},"routes":{`
	for number := range world.layout.Routes {
		text += `"route-` + strconv.Itoa(number+1) + `":{"order":7,"match":{"service":"chat","prefix":"prefix-` + strconv.Itoa(number+1) + `"},"to":{"home_first":true}},`
	}
	text += `"all":{"order":9,"to":{"home_first":true}}}}`
	return hatch.Edit{Change: "first", Digest: "first", Apply: func([]byte) ([]byte, error) { return []byte(text), nil }}
}

// changed makes a change over and over until one is accepted, and tells how long that
// took from the moment.
func (world *World) changed(from time.Duration, edit hatch.Edit) time.Duration {
	over := false
	world.outside.Go(func() {
		for ends := world.now + incidentPatience; world.now < ends && !over; {
			if over = world.edit(edit) == "accepted"; !over {
				world.wait(50, 50)
			}
		}
	})
	return world.since(from, func() bool { return over })
}

// change makes one change and adds how long it took.
func (world *World) change(incident *Incident) {
	took := world.changed(world.now, world.nowhere("nowhere", len(world.temptations)))
	incident.InForce = later(incident.InForce, took)
	incident.InForceMean += took / time.Duration(max(incident.Times, 1))
}

// lose takes machines away, makes a change at once, and gives them back.
func (world *World) lose(incident *Incident, gone []*machine, length time.Duration) {
	began := world.now
	for _, machine := range gone {
		world.powerOff(machine.name)
	}
	incident.Led = later(incident.Led, world.since(began, world.led))
	took := world.changed(began, world.nowhere("nowhere-"+world.nonce(), 0))
	incident.InForce = later(incident.InForce, took)
	incident.InForceMean += took / time.Duration(max(incident.Times, 1))
	incident.Moved = later(incident.Moved, world.since(began, func() bool { return world.rolesSettled(gone) }))
	incident.Whole = later(incident.Whole, world.since(began, world.whole))
	world.run(max(world.now, began+length))
	for _, machine := range gone {
		world.start(machine)
	}
	incident.Held = later(incident.Held, world.since(world.now, world.held))
	world.since(world.now, world.whole)
	world.run(world.now + 10*time.Second)
}

// inZones are all machines of some zones.
func (world *World) inZones(zones []string) []*machine {
	var found []*machine
	for _, machine := range world.nodes("") {
		if slices.Contains(zones, machine.zone) {
			found = append(found, machine)
		}
	}
	return found
}

// apart cuts the regions that are told from all others, or all from each other, makes
// a change at once, and heals the links after the length.
func (world *World) apart(incident *Incident, cut func(region int) bool, length time.Duration) {
	began := world.now
	var links []*link
	for _, from := range world.machines {
		for _, to := range world.machines {
			here, there := world.layout.region(from.zone), world.layout.region(to.zone)
			if here != there && (cut == nil || cut(here) != cut(there)) {
				links = append(links, world.link(from.name, to.name))
			}
		}
	}
	for _, link := range links {
		link.cut = true
	}
	if cut != nil {
		world.run(world.now + 10*time.Millisecond)
		incident.Led = world.since(began, func() bool {
			return world.led() && !cut(world.layout.region(world.primary().zone)) || world.led() && world.now-began > 5*time.Second
		})
		incident.InForce = world.changed(began, world.nowhere("nowhere-"+world.nonce(), 0))
		incident.InForceMean = incident.InForce
	}
	world.run(max(world.now, began+length))
	healed := world.now
	for _, link := range links {
		link.cut = false
	}
	incident.Held = world.since(healed, world.held)
	incident.Whole = world.since(healed, world.whole)
	if cut == nil {
		incident.InForce = world.changed(healed, world.nowhere("nowhere-"+world.nonce(), 0))
		incident.InForceMean = incident.InForce
	}
	world.run(world.now + 10*time.Second)
}

// WriteIncidents writes incidents as a table.
func WriteIncidents(target io.Writer, incidents []Incident) error {
	if _, err := fmt.Fprintln(target, "| what | times | led again | duties moved | change in force, mean | longest | all held | core whole | looked at | messages | bytes | at rest in this time, messages | bytes |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"); err != nil {
		return err
	}
	told := func(length time.Duration) string {
		switch {
		case length < 0:
			return "never"
		case length == 0:
			return "-"
		}
		return strconv.FormatFloat(length.Seconds(), 'f', 2, 64) + " s"
	}
	for _, incident := range incidents {
		if _, err := fmt.Fprintf(target, "| %s | %d | %s | %s | %s | %s | %s | %s | %s | %d | %d kB | %d | %d kB |\n", incident.Name, incident.Times, told(incident.Led), told(incident.Moved),
			told(incident.InForceMean), told(incident.InForce), told(incident.Held), told(incident.Whole), told(incident.Span), incident.Traffic.Messages, incident.Traffic.Bytes/1000,
			incident.Rest.Messages, incident.Rest.Bytes/1000); err != nil {
			return err
		}
	}
	return nil
}
