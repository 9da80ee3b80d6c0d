//go:build !race

package simulation

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// begun is a fleet whose nodes all run, with a core and holds.
func begun(t *testing.T, seed uint64, variants Settings) *World {
	t.Helper()
	w := New(fleet.Sahil(), seed)
	w.SetSettings(variants)
	for _, m := range w.machines {
		w.outside.Go(func() { w.start(m) })
	}
	if w.since(0, func() bool {
		return w.hasLeader() && w.allHaveLeases() && w.primary().control != nil && w.coreComplete()
	}) < 0 {
		t.Fatal("the fleet did not begin")
	}
	w.run(w.now + 5*time.Second)
	return w
}

// cutOff cuts a machine from everybody but those named, both ways.
func (w *World) cutOff(name string, cut bool, but ...string) {
	exempt := map[string]bool{name: true, "outside": true}
	for _, other := range but {
		exempt[other] = true
	}
	for _, other := range w.machines {
		if !exempt[other.name] {
			w.link(name, other.name).cut = cut
			w.link(other.name, name).cut = cut
		}
	}
}

func (w *World) newest() replication.Version {
	_, view, err := w.primary().control.Leading()
	if err != nil {
		return replication.Version{}
	}
	return view.VersionOf(replication.ConfigurationSection)
}

// TestAcknowledgementOfAChange cuts a router off and makes a change. In the
// product's way the change is answered when the router's lease is over and it lets
// nothing in; in the platform's way at once, and the router goes on. Those in touch
// have it in force in both, and the one that comes back has it soon.
func TestAcknowledgementOfAChange(t *testing.T) {
	for name, variants := range map[string]Settings{"strict": {}, "platform": PlatformSettings()} {
		w := begun(t, 3, variants)
		alone := w.machineNamed("courier-2")
		w.cutOff(alone.name, true)
		w.run(w.now + 700*time.Millisecond)
		took := w.changed(w.now, w.nowhere("nowhere", 0))
		version := w.newest()
		for _, m := range w.nodes(membership.Router) {
			if m != alone && m.router.InForce() != version {
				t.Errorf("%s: %s has %s, and %s was acknowledged", name, m.name, m.router.InForce(), version)
			}
		}
		serves := alone.incarnation.Now().Before(alone.router.Core().ServesUntil())
		switch {
		case name == "strict" && (serves || took < 2*time.Second || took > 5*time.Second):
			t.Errorf("%s: acknowledged after %s while a courier without the change serves: %v", name, took, serves)
		case name == "platform" && (!serves || took > variants.AcknowledgeWait+300*time.Millisecond):
			t.Errorf("%s: acknowledged after %s, the courier alone serves: %v", name, took, serves)
		}
		t.Logf("%s: acknowledged after %s", name, took)
		// A calm change takes milliseconds, and so does its way to one that is back.
		w.cutOff(alone.name, false)
		back := w.since(w.now, func() bool { return alone.router.InForce() == version })
		calm := w.changed(w.now, w.nowhere("nowhere", 1))
		if back < 0 || back > 2*time.Second || calm > 300*time.Millisecond {
			t.Errorf("%s: back after %s, a calm change took %s", name, back, calm)
		}
	}
}

// TestRolesNeedALease: a router that serves without a lease has no roles.
func TestRolesNeedALease(t *testing.T) {
	w := begun(t, 4, PlatformSettings())
	holder := w.partsHolder()
	if !holder.router.Core().HasRoles() {
		t.Fatal("the holder has no duties")
	}
	w.cutOff(holder.name, true)
	w.run(w.now + 9*time.Second)
	if now := holder.incarnation.Now(); !now.Before(holder.router.Core().ServesUntil()) || now.Before(holder.router.Core().LeaseEnds()) {
		t.Error("it should serve, without a hold")
	}
	if took := w.since(w.now, func() bool { return w.rolesSettled([]*machine{holder}) }); took < 0 {
		t.Error("its duties did not move")
	}
	// The commands since then are judged: none by the one without a lease.
	if verdict := fleet.Judge(w.Events.Entries()); verdict.Violations() > 0 {
		t.Error(verdict)
	}
}

// TestBlankDisksThatOnlyJoinFormNothing starts a whole fleet of them.
func TestBlankDisksThatOnlyJoinFormNothing(t *testing.T) {
	w := New(fleet.Sahil(), 5)
	w.SetSettings(Settings{JoinOnly: true})
	for _, m := range w.machines {
		w.outside.Go(func() { w.start(m) })
	}
	w.run(30 * time.Second)
	for _, ma := range w.nodes(membership.Controller) {
		if !ma.control.Witness().Membership().Blank() {
			t.Errorf("%s has the charter %+v", ma.name, ma.control.Witness().Membership())
		}
	}
}

// TestReplacedControllerIsTakenIn replaces a controller by an empty one elsewhere, which
// knows the old seeds; then another, so that two seeds are gone. There is no list of
// nodes. Routers that start with the old seeds find the core, and the records of
// those who are gone end by themselves.
func TestReplacedControllerIsTakenIn(t *testing.T) {
	variants := PlatformSettings()
	w := begun(t, 6, variants)
	seeds := w.machines[0].seeds
	for number, gone := range []string{"expediter-1", "expediter-2"} {
		leaving := w.machineNamed(gone)
		w.powerOff(gone)
		leaving.gone = true
		address := "10.0.9." + string(rune('1'+number)) + ":1"
		joined := w.addMachine(membership.Controller, "newcomer-"+string(rune('1'+number)), address, leaving.zone, seeds)
		w.start(joined)
		took := w.since(w.now, func() bool {
			if joined.control == nil || !w.hasLeader() {
				return false
			}
			m := w.primary().control.Coordinator().Membership()
			return m.HasVoter(joined.control.Witness().Replica().Identity) && len(m.Incoming) == 0
		})
		if took < 0 || took > 15*time.Second {
			t.Fatalf("%s is no keeper after %s", joined.name, took)
		}
		t.Logf("%s is a keeper after %s", joined.name, took)
		// One loss is borne at a time: the machine counts as lost for the catch-up.
		w.run(w.now + replication.DefaultCatchUp)
	}
	late := w.machineNamed("courier-3")
	w.kill(late)
	w.start(late)
	found := w.since(w.now, func() bool { return late.incarnation.Now().Before(late.router.Core().LeaseEnds()) })
	if found < 0 || found > 4*time.Second {
		t.Errorf("a courier whose two seeds are gone found the core after %s", found)
	}
	t.Logf("a courier with one seed left found the core after %s", found)
	retired := w.since(w.now, func() bool {
		_, _, state, err := w.primary().control.Read()
		return err == nil && len(state.Members) == len(w.nodes(""))
	})
	if retired < 0 || retired > 2*variants.RetireAfter {
		t.Errorf("the record still has those who are gone after %s", retired)
	}
	if took := w.changed(w.now, w.nowhere("nowhere", 0)); took > time.Second {
		t.Errorf("a change took %s", took)
	}
}

// TestRoutersReadTheListThemselves keeps the list from the controllers, and has a
// server leave meanwhile: each router hears of it, without reading often. When
// nobody can read it, nothing is forgotten.
func TestRoutersReadTheListThemselves(t *testing.T) {
	w := begun(t, 7, PlatformSettings())
	if reads := len(w.listReads); reads > 2*len(w.nodes(membership.Router)) {
		t.Errorf("couriers read the list %d times before the fleet was calm", reads)
	}
	before := len(w.listReads)
	w.run(w.now + 10*time.Second)
	if reads := len(w.listReads) - before; reads > 0 {
		t.Errorf("couriers read the list %d times though they have news of it", reads)
	}
	for _, m := range w.nodes(membership.Controller) {
		w.link("platform", m.name).cut = true
	}
	name := w.plans[0].Name
	leaving := w.platform.servers[name]
	leaving.Leaving = true
	w.platform.servers[name] = leaving
	knows := func(ma *machine) bool {
		for _, s := range ma.router.Servers() {
			if s.Name == name {
				return s.Leaving
			}
		}
		return false
	}
	all := func() bool {
		for _, mc := range w.nodes(membership.Router) {
			if !knows(mc) {
				return false
			}
		}
		return true
	}
	took := w.since(w.now, all)
	if took < 0 || took > 2500*time.Millisecond {
		t.Errorf("the leaving server was known everywhere after %s", took)
	}
	t.Logf("the leaving server was known everywhere after %s", took)
	before = len(w.listReads)
	w.run(w.now + 10*time.Second)
	if reads, most := len(w.listReads)-before, 11*len(w.nodes(membership.Router)); reads > most {
		t.Errorf("couriers read the list %d times in ten seconds", reads)
	}
	// The reads are spread: in no tenth of a second do all read.
	busiest, count := 0, map[time.Duration]int{}
	for _, at := range w.listReads[before:] {
		count[at/(100*time.Millisecond)]++
		busiest = max(busiest, count[at/(100*time.Millisecond)])
	}
	if busiest >= len(w.nodes(membership.Router)) {
		t.Errorf("%d couriers read within a tenth of a second", busiest)
	}
	// The controllers come back with an older word, and then nobody reads at all.
	leaving.Leaving = false
	w.platform.servers[name] = leaving
	for _, mch := range w.nodes(membership.Controller) {
		w.link("platform", mch.name).cut = false
	}
	w.run(w.now + 5*time.Second)
	w.platform.down = true
	w.run(w.now + 10*time.Second)
	if !all() || len(w.machines[4].router.Servers()) != len(w.plans) {
		t.Errorf("the list is %v", w.machines[4].router.Servers())
	}
}

// TestReportsAreReadOnceForTheFleet counts what servers are asked in a calm fleet: by
// the primary alone, and only while a router follows reports.
func TestReportsAreReadOnceForTheFleet(t *testing.T) {
	for name, variants := range map[string]Settings{"calls": PlatformSettings(), "no calls": {}} {
		w := begun(t, 8, variants)
		before := w.reportReads
		w.run(w.now + 10*time.Second)
		each := float64(w.reportReads-before) / 10 / float64(len(w.plans))
		t.Logf("%s: %.2f reports a second from each server", name, each)
		if variants.Calls && (each < 1.4 || each > 3.2) || !variants.Calls && each > 0 {
			t.Errorf("%s: %.2f reports a second from each server", name, each)
		}
	}
}

// TestChangesAndUpdateAfterThePrimary is lost in each way: how long until a change is
// acknowledged, and until every router in touch has news again.
func TestChangesAndUpdateAfterThePrimary(t *testing.T) {
	variants := map[string]func(w *World, primary *machine){
		"killed":     func(w *World, primary *machine) { w.kill(primary) },
		"power lost": func(w *World, primary *machine) { w.powerOff(primary.name) },
		"frozen":     func(_ *World, primary *machine) { primary.incarnation.freeze() },
		"cut off":    func(w *World, primary *machine) { w.cutOff(primary.name, true) },
		"cut from the core": func(w *World, primary *machine) {
			w.cutOff(primary.name, true, "courier-1", "courier-2", "courier-3", "courier-4", "courier-5", "courier-6",
				"courier-7")
		},
		"its answers lost": func(w *World, primary *machine) {
			for _, other := range w.machines {
				w.link(primary.name, other.name).cut = true
			}
		},
		"nobody reaches it": func(w *World, primary *machine) {
			for _, other := range w.machines {
				w.link(other.name, primary.name).cut = true
			}
		},
		"stopped": func(w *World, primary *machine) {
			control, i := primary.control, primary.incarnation
			i.Go(func() { control.Leave(leavePatience); i.world.outside.Go(func() { w.kill(primary) }) })
		},
	}
	for name, lose := range variants {
		var worstChange, worstUpdate time.Duration
		for seed := range uint64(6) {
			w := begun(t, 20+seed, PlatformSettings())
			began, primary := w.now, w.primary()
			lose(w, primary)
			heard := map[string]time.Time{}
			for _, m := range w.nodes(membership.Router) {
				heard[m.name] = m.router.Heard()
			}
			change := w.changedWhereLed(began, w.nowhere("nowhere", 0))
			update := w.since(began, func() bool {
				for _, ma := range w.nodes(membership.Router) {
					if !ma.router.Heard().After(heard[ma.name].Add(700 * time.Millisecond)) {
						return false
					}
				}
				return true
			})
			if change < 0 || update < 0 {
				t.Errorf("%s, seed %d: change %s, news %s", name, seed, change, update)
			}
			worstChange, worstUpdate = max(worstChange, change), max(worstUpdate, update)
		}
		t.Logf("%-18s change acknowledged within %s, news everywhere within %s", name, worstChange, worstUpdate)
		if worstChange > 4*time.Second || worstUpdate > 4500*time.Millisecond {
			t.Errorf("%s: change after %s, news after %s", name, worstChange, worstUpdate)
		}
	}
}

// changedWhereLed makes a change at whoever leads, as an operator does whose calls
// others answer with a word on who that is.
func (w *World) changedWhereLed(from time.Duration, edit controlplane.Edit) time.Duration {
	over := false
	w.outside.Go(func() {
		for ends := w.now + incidentPatience; w.now < ends && !over; w.wait(20, 20) {
			for _, m := range w.nodes(membership.Controller) {
				if m.incarnation == nil || m.incarnation.ended || m.incarnation.frozen || m.control == nil || !m.control.Coordinator().HasLease() {
					continue
				}
				control := m.control
				_, err := w.outside.call(m.name, time.Second, func(*incarnation) (any, error) { return control.Edit(edit) })
				over = over || err == nil
			}
		}
	})
	return w.since(from, func() bool { return over })
}
