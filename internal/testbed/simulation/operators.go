package simulation

import (
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// operatorPatience is how long an operator waits for an answer.
const operatorPatience = 12 * time.Second

// atPrimary has an operator ask the expediters, one after another, until one
// leads. Whoever asks is outside, with a whole link to each.
func (world *World) atPrimary(serve func(control *hatch.Controller) (any, error)) (any, error) {
	var last error = failure.New(failure.NoPrimary, "no expediter runs")
	for _, machine := range world.machines {
		if machine.kind != membership.Controller || machine.gone {
			continue
		}
		content, err := world.outside.ask(machine.name, operatorPatience, func(*incarnation) (any, error) {
			if machine.control == nil {
				return nil, failure.New(failure.NoPrimary, "the disk is being opened")
			}
			return serve(machine.control)
		})
		if err == nil {
			return content, nil
		}
		switch failure.KindOf(err) {
		case failure.NoPrimary, failure.NotPrimary:
			last = err
			continue
		case failure.Unreachable:
			if failure.DetailOf(err) == "nobody listens" {
				last = err
				continue
			}
		}
		return nil, err
	}
	return nil, last
}

type configurationRead struct {
	version replication.Version
	text    []byte
}

// readConfiguration reads the configuration as an operator does, and notes its edition.
func (world *World) readConfiguration(note bool) (configurationRead, bool) {
	began := world.now
	content, err := world.atPrimary(func(control *hatch.Controller) (any, error) {
		_, view, state, err := control.Read()
		if err != nil {
			return nil, err
		}
		return configurationRead{view.VersionOf(replication.ConfigurationSection), state.Configuration}, nil
	})
	if err != nil {
		return configurationRead{}, false
	}
	read := content.(configurationRead)
	if note {
		world.Book.Note(fleet.Entry{Kind: fleet.RevisionRead, Revision: fleet.RevisionOf(read.text), Took: world.now - began})
	}
	return read, true
}

// edit asks for a change, and tells "accepted", "refused" or "unknown".
func (world *World) edit(edit hatch.Edit) string {
	_, err := world.atPrimary(func(control *hatch.Controller) (any, error) { return control.Edit(edit) })
	switch {
	case err == nil:
		return "accepted"
	case failure.KindOf(err) == failure.Unknown, failure.KindOf(err) == failure.Unreachable && failure.DetailOf(err) != "nobody listens":
		world.tempt("a change with an unknown outcome")
		return "unknown"
	}
	return "refused"
}

// nextRevision reads the configuration and puts the next edition over it; racers
// do so from the same version at once.
func (world *World) nextRevision(racers int) bool {
	read, found := world.readConfiguration(true)
	if !found {
		return false
	}
	accepted := false
	left := racers
	cond := world.outside.NewCond()
	for range racers {
		world.revision++
		revision := world.revision
		world.outside.Go(func() {
			accepted = world.putRevision(revision, read) || accepted
			left--
			cond.Broadcast()
		})
	}
	cond.Wait(time.Minute, func() bool { return left == 0 })
	return accepted
}

func (world *World) putRevision(revision int, read configurationRead) bool {
	world.Book.Note(fleet.Entry{Kind: fleet.RevisionAsked, Revision: revision})
	patch := world.deployment.Configuration(revision)
	if before := fleet.RevisionOf(read.text); before > 0 {
		patch = strings.Replace(patch, `"routes":{`, `"routes":{"edition-`+strconv.Itoa(before)+`":null,`, 1)
	}
	if world.ways.Calls {
		patch = strings.Replace(patch, `"routes":{`, `"routes":{`+world.callRoutes(), 1)
	}
	outcome := world.edit(hatch.Edit{Change: "edition-" + strconv.Itoa(revision), Digest: patch, Expected: &read.version,
		Apply: func(text []byte) ([]byte, error) { return config.Merge(text, []byte(patch)) }})
	kinds := map[string]fleet.EntryKind{"accepted": fleet.RevisionAccepted, "refused": fleet.RevisionRefused, "unknown": fleet.RevisionUnknown}
	world.Book.Note(fleet.Entry{Kind: kinds[outcome], Revision: revision})
	return outcome == "accepted"
}

// evacuate closes a district for some time. One operator at a time does so: a
// restoring that is under way would undo the next closing.
func (world *World) evacuate(zone string, length time.Duration) {
	if world.evacuating[zone] {
		return
	}
	world.evacuating[zone] = true
	defer delete(world.evacuating, zone)
	under := 0
	for _, name := range world.serversOf(zone) {
		under += world.servers[name].top.Active()
	}
	if under > 0 {
		world.tempt("answers under way at an evacuation")
	}
	world.Book.Note(fleet.Entry{Kind: fleet.EvacuationAsked, Zone: zone})
	outcome := world.edit(hatch.Edit{Change: "evacuate-" + world.nonce(), Digest: zone, Apply: func(text []byte) ([]byte, error) { return config.Evacuate(text, zone, "rehearsal") }})
	world.say("evacuate %s: %s", zone, outcome)
	if outcome == "accepted" {
		world.Book.Note(fleet.Entry{Kind: fleet.Evacuated, Zone: zone})
	}
	world.outside.NewCond().Wait(length, never)
	for range 40 {
		world.Book.Note(fleet.Entry{Kind: fleet.RestoreAsked, Zone: zone})
		if world.edit(hatch.Edit{Change: "restore-" + world.nonce(), Digest: zone, Apply: func(text []byte) ([]byte, error) { return config.Restore(text, zone) }}) == "accepted" {
			return
		}
		world.outside.NewCond().Wait(700*time.Millisecond, never)
	}
}

// operate is the operators' day: an edition every other second, a read of what
// holds, and a look at every courier.
func (world *World) operate(until time.Duration) {
	world.outside.Go(func() {
		for world.now < until {
			for _, machine := range world.machines {
				if machine.kind == membership.Router {
					world.lookAtRevision(machine)
				}
			}
			world.outside.NewCond().Wait(200*time.Millisecond, never)
		}
	})
	world.outside.Go(func() {
		for world.now < until {
			world.nextRevision(1)
			world.outside.NewCond().Wait(time.Second, never)
		}
	})
}
