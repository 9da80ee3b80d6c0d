package simulation

import (
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// operatorTimeout is how long an operator waits for a response.
const operatorTimeout = 12 * time.Second

// atPrimary calls the controllers on an operator's behalf, one after another, until it finds the
// primary. The operator is outside the fleet, and the links to the controllers have no faults.
func (w *World) atPrimary(serve func(control *controlplane.Controller) (any, error)) (any, error) {
	var last error = failure.New(failure.NoPrimary, "no controller is running")
	for _, m := range w.machines {
		if m.kind != membership.Controller || m.gone {
			continue
		}
		content, err := w.outside.call(m.name, operatorTimeout, func(*incarnation) (any, error) {
			if m.control == nil {
				return nil, failure.New(failure.NoPrimary, "the disk is being opened")
			}
			return serve(m.control)
		})
		if err == nil {
			return content, nil
		}
		switch failure.CodeOf(err) {
		case failure.NoPrimary, failure.NotPrimary:
			last = err
			continue
		case failure.Unreachable:
			if failure.DetailOf(err) == "connection refused" {
				last = err
				continue
			}
		}
		return nil, err
	}
	return nil, last
}

// configurationRead is a configuration as an operator read it, with its version.
type configurationRead struct {
	version replication.Version
	text    []byte
}

// readConfiguration reads the configuration as an operator does. With record set, it adds the
// revision to the event log.
func (w *World) readConfiguration(record bool) (configurationRead, bool) {
	began := w.now
	content, err := w.atPrimary(func(control *controlplane.Controller) (any, error) {
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
	if record {
		w.Events.Append(fleet.Entry{Kind: fleet.RevisionRead, Revision: fleet.RevisionOf(read.text), Took: w.now - began})
	}
	return read, true
}

// requestEdit requests a change and returns "accepted", "refused" or "unknown".
func (w *World) requestEdit(edit controlplane.Edit) string {
	_, err := w.atPrimary(func(control *controlplane.Controller) (any, error) { return control.Edit(edit) })
	switch {
	case err == nil:
		return "accepted"
	case failure.CodeOf(err) == failure.OutcomeUnknown,
		failure.CodeOf(err) == failure.Unreachable && failure.DetailOf(err) != "connection refused":
		w.encounter("a change with an unknown outcome")
		return "unknown"
	}
	return "refused"
}

// nextRevision reads the configuration once, and then several racers replace it at the same time,
// each by a new revision that expects the version that was read. It reports whether a revision
// was accepted.
func (w *World) nextRevision(racers int) bool {
	read, found := w.readConfiguration(true)
	if !found {
		return false
	}
	accepted := false
	left := racers
	done := w.outside.NewCond()
	for range racers {
		w.revision++
		revision := w.revision
		w.outside.Go(func() {
			accepted = w.putRevision(revision, read) || accepted
			left--
			done.Broadcast()
		})
	}
	done.Wait(time.Minute, func() bool { return left == 0 })
	return accepted
}

// putRevision requests a revision that expects the version that was read, records the outcome, and
// reports whether the revision was accepted.
func (w *World) putRevision(revision int, read configurationRead) bool {
	w.Events.Append(fleet.Entry{Kind: fleet.RevisionAsked, Revision: revision})
	patch := w.deployment.Configuration(revision)
	if before := fleet.RevisionOf(read.text); before > 0 {
		patch = strings.Replace(patch, `"routes":{`, `"routes":{"edition-`+strconv.Itoa(before)+`":null,`, 1)
	}
	if w.settings.Calls {
		patch = strings.Replace(patch, `"routes":{`, `"routes":{`+w.callRoutes(), 1)
	}
	outcome := w.requestEdit(controlplane.Edit{Change: "edition-" + strconv.Itoa(revision), Digest: patch, Expected: &read.version,
		Apply: func(text []byte) ([]byte, error) { return config.Merge(text, []byte(patch)) }})
	kinds := map[string]fleet.EntryKind{
		"accepted": fleet.RevisionAccepted,
		"refused":  fleet.RevisionRefused,
		"unknown":  fleet.RevisionUnknown,
	}
	w.Events.Append(fleet.Entry{Kind: kinds[outcome], Revision: revision})
	return outcome == "accepted"
}

// evacuate evacuates a zone for some time and then restores the zone. It does nothing while the
// zone is evacuated already, because the first restore would undo the second evacuation.
func (w *World) evacuate(zone string, length time.Duration) {
	if w.evacuating[zone] {
		return
	}
	w.evacuating[zone] = true
	defer delete(w.evacuating, zone)
	active := 0
	for _, name := range w.serversOf(zone) {
		active += w.servers[name].engine.Active()
	}
	if active > 0 {
		w.encounter("replies in progress at an evacuation")
	}
	w.Events.Append(fleet.Entry{Kind: fleet.EvacuationAsked, Zone: zone})
	outcome := w.requestEdit(controlplane.Edit{
		Change: "evacuate-" + w.nonce(),
		Digest: zone,
		Apply:  func(text []byte) ([]byte, error) { return config.Evacuate(text, zone, "rehearsal") },
	})
	w.tracef("evacuate %s: %s", zone, outcome)
	if outcome == "accepted" {
		w.Events.Append(fleet.Entry{Kind: fleet.Evacuated, Zone: zone})
	}
	w.outside.NewCond().Wait(length, never)
	for range 40 {
		w.Events.Append(fleet.Entry{Kind: fleet.RestoreAsked, Zone: zone})
		if w.requestEdit(controlplane.Edit{
			Change: "restore-" + w.nonce(),
			Digest: zone,
			Apply:  func(text []byte) ([]byte, error) { return config.EndEvacuation(text, zone) },
		}) == "accepted" {
			return
		}
		w.outside.NewCond().Wait(700*time.Millisecond, never)
	}
}

// operate runs the operators until the given time. One makes revisions with a pause of a second
// after each; another reads the revision in force at every router every 200 ms.
func (w *World) operate(until time.Duration) {
	w.outside.Go(func() {
		for w.now < until {
			for _, m := range w.machines {
				if m.kind == membership.Router {
					w.readRevision(m)
				}
			}
			w.outside.NewCond().Wait(200*time.Millisecond, never)
		}
	})
	w.outside.Go(func() {
		for w.now < until {
			w.nextRevision(1)
			w.outside.NewCond().Wait(time.Second, never)
		}
	})
}
