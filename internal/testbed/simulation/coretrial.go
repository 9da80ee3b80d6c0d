package simulation

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/membership"
)

// CoreLayouts returns the cores that are tested with only a few routers: one that tolerates the
// loss of one machine, and two that tolerate the loss of two machines or of one zone.
func CoreLayouts() map[string]Layout {
	layout := func(controllers, losses int, zones ...string) Layout {
		return Layout{Zones: [][]string{zones}, Routers: 4, Controllers: controllers, ToleratedLosses: losses, Routes: 20}
	}
	return map[string]Layout{
		"three in three zones": layout(3, 1, "one", "two", "three"),
		"six in three zones":   layout(6, 2, "one", "two", "three"),
		"eight in four zones":  layout(8, 2, "one", "two", "three", "four"),
	}
}

// CoreTrial is the outcome of one fault of a core.
type CoreTrial struct {
	// Took is the longest time without an acknowledged change. It counts from the fault, or from
	// the return of the machines if the fault stopped all of them. It is -1 if the core accepted no
	// configuration or was not complete before the fault, or if a change was not acknowledged within
	// incidentTimeout.
	Took time.Duration
	// Lost holds the acknowledged changes that a later read did not return.
	Lost []string
	// TwoPrimaries counts the observations of several controllers that hold the primary's lease at
	// the same time.
	TwoPrimaries int
	// Restored reports whether the core has all its replicas and witnesses again.
	Restored bool
}

// Failed reports whether Took is -1, an acknowledged change was lost, several controllers held the
// primary's lease at the same time, or the core was not restored.
func (c CoreTrial) Failed() bool {
	return c.Took < 0 || len(c.Lost) > 0 || c.TwoPrimaries > 0 || !c.Restored
}

// RunCoreTrial lets a core form, injects the fault right after an acknowledged change, and
// returns the outcome.
func (w *World) RunCoreTrial(fault string) CoreTrial {
	w.diskSync = time.Duration(2+3*w.random.IntN(2)) * time.Millisecond
	w.settings.AcknowledgeWait, w.settings.FormOnce = time.Second, true
	for _, m := range w.machines {
		if m.disk != nil {
			m.disk.sync = w.diskSync
		}
		w.outside.Go(func() {
			w.wait(0, 400)
			w.start(m)
		})
	}
	w.outside.Go(func() { w.watchPrimaries(time.Hour) })
	trial := CoreTrial{Took: -1}
	w.run(w.now + 500*time.Millisecond)
	if w.editUntilAccepted(w.now, w.configuration()) < 0 || w.timeUntil(w.now, w.coreComplete) < 0 {
		return trial
	}
	w.settings.JoinOnly = true
	changes := &trackedChanges{world: w}
	for range 3 + w.random.IntN(3) {
		changes.next(w.now)
		w.run(w.now + time.Duration(w.random.IntN(700))*time.Millisecond)
		w.timeUntil(w.now, w.coreComplete)
	}
	changes.next(w.now)
	for _, candidate := range append(slices.Clone(coreFaults), backupFaults...) {
		if candidate.name == fault {
			w.tracef("fault: %s", fault)
			trial.Took = changes.longest(candidate.run(w))
		}
	}
	w.tracef("acknowledged after %s", trial.Took)
	// Every machine returns, and the core must become complete again without an operator.
	w.repairAll()
	trial.Restored = w.timeUntil(w.now, w.coreComplete) >= 0
	for range 2 {
		changes.next(w.now)
	}
	trial.Lost, trial.TwoPrimaries = changes.lost(), w.twoPrimaries
	return trial
}

// trackedChanges makes changes. Each change evacuates a made-up zone with a unique name, so that a
// later read of the configuration shows whether the change is stored.
type trackedChanges struct {
	world        *World
	acknowledged []string
	requested    int
}

// changeTime is how long trackedChanges.longest requests changes after a fault.
const changeTime = 6 * time.Second

// longest makes one change after another until changeTime after from, and returns the longest time
// without an acknowledged change, or -1 if a change was not acknowledged within incidentTimeout.
func (t *trackedChanges) longest(from time.Duration) time.Duration {
	longest, latest := time.Duration(0), from
	for ends := from + changeTime; latest < ends; {
		if t.next(t.world.now) < 0 {
			return -1
		}
		now := t.world.now
		longest, latest = max(longest, now-latest), now
		t.world.run(now + 150*time.Millisecond)
	}
	return longest
}

// next requests a new change every tenth of a second until one of them is acknowledged. It returns
// the time from began to that moment, or -1 if none is acknowledged within incidentTimeout.
func (t *trackedChanges) next(began time.Duration) time.Duration {
	world, done := t.world, false
	world.outside.Go(func() {
		for ends := world.now + incidentTimeout; world.now < ends && !done; world.wait(100, 100) {
			t.requested++
			change := "mark-" + strconv.Itoa(t.requested)
			world.outside.Go(func() {
				edit := controlplane.Edit{
					Change: change,
					Digest: change,
					Apply:  func(text []byte) ([]byte, error) { return config.Evacuate(text, change, "rehearsal") },
				}
				if world.editSomewhere(edit) {
					done = true
					t.acknowledged = append(t.acknowledged, change)
				}
			})
		}
	})
	return world.timeUntil(began, func() bool { return done })
}

// editSomewhere sends a change to each controller that holds the lease until one accepts it.
func (w *World) editSomewhere(edit controlplane.Edit) bool {
	for _, m := range w.nodes(membership.Controller) {
		if !m.running() || m.control == nil || !m.control.Coordinator().HasLease() {
			continue
		}
		control := m.control
		_, err := w.outside.call(m.name, operatorTimeout, func(*incarnation) (any, error) { return control.Edit(edit) })
		if err == nil {
			return true
		}
	}
	return false
}

// lost reads the configuration and returns the acknowledged changes that are missing from it.
func (t *trackedChanges) lost() []string {
	var text []byte
	read := false
	t.world.outside.Go(func() {
		for ends := t.world.now + incidentTimeout; t.world.now < ends && !read; t.world.wait(100, 100) {
			var found configurationRead
			found, read = t.world.readConfiguration(false)
			text = found.text
		}
	})
	t.world.timeUntil(t.world.now, func() bool { return read })
	var lost []string
	for _, change := range t.acknowledged {
		if !strings.Contains(string(text), `"`+change+`"`) {
			lost = append(lost, change)
		}
	}
	return lost
}
