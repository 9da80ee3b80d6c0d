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

// startedFleet returns a fleet in which all nodes run, the core is complete and every router has a
// lease.
func startedFleet(t *testing.T, seed uint64, settings Settings) *World {
	t.Helper()
	w := New(fleet.Sahil(), seed)
	w.SetSettings(settings)
	for _, m := range w.machines {
		w.outside.Go(func() { w.start(m) })
	}
	if w.timeUntil(0, func() bool {
		return w.hasLeader() && w.allHaveLeases() && w.primary().control != nil && w.coreComplete()
	}) < 0 {
		t.Fatal("the fleet did not start in time")
	}
	w.run(w.now + 5*time.Second)
	return w
}

// cutOff cuts or heals the links between a machine and all others except the named ones.
func (w *World) cutOff(name string, cut bool, except ...string) {
	exempt := map[string]bool{name: true, "outside": true}
	for _, other := range except {
		exempt[other] = true
	}
	for _, other := range w.machines {
		if !exempt[other.name] {
			w.link(name, other.name).cut = cut
			w.link(other.name, name).cut = cut
		}
	}
}

// configurationVersion returns the primary's version of the configuration.
func (w *World) configurationVersion() replication.Version {
	_, view, err := w.primary().control.Leading()
	if err != nil {
		return replication.Version{}
	}
	return view.VersionOf(replication.ConfigurationSection)
}

// TestAcknowledgementOfAChange cuts a router off and makes a change. With the product's own
// settings the change is acknowledged when the router's lease has expired and the router
// accepts no requests. With the platform's settings the change is acknowledged within
// AcknowledgeWait and the router goes on serving. In both cases the change is in force at the
// routers in touch, and soon after the links are healed also at the router that was cut off.
func TestAcknowledgementOfAChange(t *testing.T) {
	for name, settings := range map[string]Settings{"strict": {}, "platform": PlatformSettings()} {
		w := startedFleet(t, 3, settings)
		isolated := w.machineNamed("courier-2")
		w.cutOff(isolated.name, true)
		w.run(w.now + 700*time.Millisecond)
		took := w.editUntilAccepted(w.now, w.harmlessEdit("nowhere", 0))
		version := w.configurationVersion()
		for _, m := range w.nodes(membership.Router) {
			if m != isolated && m.router.InForce() != version {
				t.Errorf("%s: %s has version %s, but %s was acknowledged", name, m.name, m.router.InForce(), version)
			}
		}
		serves := isolated.incarnation.Now().Before(isolated.router.Core().ServesUntil())
		switch {
		case name == "strict" && (serves || took < 2*time.Second || took > 5*time.Second):
			t.Errorf("%s: acknowledged after %s, want 2 s to 5 s; the cut-off router serves: got %v, want false", name, took, serves)
		case name == "platform" && (!serves || took > settings.AcknowledgeWait+300*time.Millisecond):
			t.Errorf("%s: acknowledged after %s, want %s at most; the cut-off router serves: got %v, want true",
				name, took, settings.AcknowledgeWait+300*time.Millisecond, serves)
		}
		t.Logf("%s: acknowledged after %s", name, took)
		// Soon after the links are healed the router has the change, and a change takes milliseconds
		// again.
		w.cutOff(isolated.name, false)
		reconnected := w.timeUntil(w.now, func() bool { return isolated.router.InForce() == version })
		undisturbed := w.editUntilAccepted(w.now, w.harmlessEdit("nowhere", 1))
		if reconnected < 0 || reconnected > 2*time.Second || undisturbed > 300*time.Millisecond {
			t.Errorf("%s: the healed router had the change after %s, want 2 s at most; a change without faults took %s, want 300 ms at most",
				name, reconnected, undisturbed)
		}
	}
}

// TestRolesNeedALease cuts off a router that has roles. It checks that the router goes on serving without a
// lease, that its roles go to other routers, and that it then sends no commands.
func TestRolesNeedALease(t *testing.T) {
	w := startedFleet(t, 4, PlatformSettings())
	holder := w.roleLeaseHolder()
	if !holder.router.Core().HasRoles() {
		t.Fatal("the role holder has no roles")
	}
	w.cutOff(holder.name, true)
	w.run(w.now + 9*time.Second)
	if now := holder.incarnation.Now(); !now.Before(holder.router.Core().ServesUntil()) ||
		now.Before(holder.router.Core().LeaseEnds()) {
		t.Error("the router does not serve or has a lease, want service without a lease")
	}
	if took := w.timeUntil(w.now, func() bool { return w.rolesAssigned([]*machine{holder}) }); took < 0 {
		t.Error("the router's roles were not reassigned in time")
	}
	// The checkers fail if the router without a lease has sent a command since then.
	if verdict := fleet.CheckEvents(w.Events.Entries()); verdict.Violations() > 0 {
		t.Error(verdict)
	}
}

// TestJoinOnlyControllersFormNoCore starts a fleet of blank disks that may only join a core,
// and checks that they form none.
func TestJoinOnlyControllersFormNoCore(t *testing.T) {
	w := New(fleet.Sahil(), 5)
	w.SetSettings(Settings{JoinOnly: true})
	for _, m := range w.machines {
		w.outside.Go(func() { w.start(m) })
	}
	w.run(30 * time.Second)
	for _, m := range w.nodes(membership.Controller) {
		if !m.control.Witness().Membership().Blank() {
			t.Errorf("%s has the membership %+v, want none", m.name, m.control.Witness().Membership())
		}
	}
}

// TestReplacementControllersJoinTheCore replaces two controllers, one after another, by empty ones at new
// addresses. The new controllers start with the old seeds, of which two are gone at the end. The
// platform lists no nodes. The test checks that the new controllers join the core, that a router that
// starts with the old seeds finds the core, and that the members that are gone are retired.
func TestReplacementControllersJoinTheCore(t *testing.T) {
	settings := PlatformSettings()
	w := startedFleet(t, 6, settings)
	seeds := w.machines[0].seeds
	for number, gone := range []string{"expediter-1", "expediter-2"} {
		leaving := w.machineNamed(gone)
		w.powerOff(gone)
		leaving.gone = true
		address := "10.0.9." + string(rune('1'+number)) + ":1"
		joined := w.addMachine(membership.Controller, "newcomer-"+string(rune('1'+number)), address, leaving.zone, seeds)
		w.start(joined)
		took := w.timeUntil(w.now, func() bool {
			if joined.control == nil || !w.hasLeader() {
				return false
			}
			m := w.primary().control.Coordinator().Membership()
			return m.HasVoter(joined.control.Witness().Replica().Identity) && len(m.Incoming) == 0
		})
		if took < 0 || took > 15*time.Second {
			t.Fatalf("%s became a witness after %s, want 15 s at most", joined.name, took)
		}
		t.Logf("%s became a witness after %s", joined.name, took)
		// The core tolerates one loss at a time, and the machine counts as lost for the catch-up time.
		w.run(w.now + replication.DefaultCatchUp)
	}
	late := w.machineNamed("courier-3")
	w.kill(late)
	w.start(late)
	found := w.timeUntil(w.now, func() bool { return late.incarnation.Now().Before(late.router.Core().LeaseEnds()) })
	if found < 0 || found > 4*time.Second {
		t.Errorf("a router with one seed left found the core after %s, want 4 s at most", found)
	}
	t.Logf("a router with one seed left found the core after %s", found)
	retired := w.timeUntil(w.now, func() bool {
		_, _, state, err := w.primary().control.Read()
		return err == nil && len(state.Members) == len(w.nodes(""))
	})
	if retired < 0 || retired > 2*settings.RetireAfter {
		t.Errorf("the members that are gone were retired after %s, want %s at most", retired, 2*settings.RetireAfter)
	}
	if took := w.editUntilAccepted(w.now, w.harmlessEdit("nowhere", 0)); took > time.Second {
		t.Errorf("a change took %s, want 1 s at most", took)
	}
}

// TestRoutersReadTheServerListWhileControllersCannot cuts the controllers off from the platform and then makes a
// server leave. It checks that each router learns of the leaving server without reading the list
// often, and that the routers keep the list while neither they nor the controllers can read it.
func TestRoutersReadTheServerListWhileControllersCannot(t *testing.T) {
	w := startedFleet(t, 7, PlatformSettings())
	if reads := len(w.listReads); reads > 2*len(w.nodes(membership.Router)) {
		t.Errorf("routers read the list %d times during the start, want two reads each at most", reads)
	}
	before := len(w.listReads)
	w.run(w.now + 10*time.Second)
	if reads := len(w.listReads) - before; reads > 0 {
		t.Errorf("routers read the list %d times, want none while the controllers send it", reads)
	}
	for _, m := range w.nodes(membership.Controller) {
		w.link("platform", m.name).cut = true
	}
	name := w.plans[0].Name
	leaving := w.platform.servers[name]
	leaving.Leaving = true
	w.platform.servers[name] = leaving
	knows := func(m *machine) bool {
		for _, s := range m.router.Servers() {
			if s.Name == name {
				return s.Leaving
			}
		}
		return false
	}
	all := func() bool {
		for _, m := range w.nodes(membership.Router) {
			if !knows(m) {
				return false
			}
		}
		return true
	}
	took := w.timeUntil(w.now, all)
	if took < 0 || took > 2500*time.Millisecond {
		t.Errorf("all routers knew of the leaving server after %s, want 2.5 s at most", took)
	}
	t.Logf("all routers knew of the leaving server after %s", took)
	before = len(w.listReads)
	w.run(w.now + 10*time.Second)
	if reads, most := len(w.listReads)-before, 11*len(w.nodes(membership.Router)); reads > most {
		t.Errorf("routers read the list %d times in ten seconds, want %d at most", reads, most)
	}
	// The reads are spread over time: there is no tenth of a second in which all routers read.
	busiest, count := 0, map[time.Duration]int{}
	for _, at := range w.listReads[before:] {
		count[at/(100*time.Millisecond)]++
		busiest = max(busiest, count[at/(100*time.Millisecond)])
	}
	if busiest >= len(w.nodes(membership.Router)) {
		t.Errorf("%d routers read within a tenth of a second, want fewer than all", busiest)
	}
	// The controllers reach the platform again and read an older state of the server; then the
	// platform fails, so that neither routers nor controllers can read the list.
	leaving.Leaving = false
	w.platform.servers[name] = leaving
	for _, m := range w.nodes(membership.Controller) {
		w.link("platform", m.name).cut = false
	}
	w.run(w.now + 5*time.Second)
	w.platform.down = true
	w.run(w.now + 10*time.Second)
	if !all() || len(w.machines[4].router.Servers()) != len(w.plans) {
		t.Errorf("got the list %v, want %d servers with the leaving one marked", w.machines[4].router.Servers(), len(w.plans))
	}
}

// TestReportsAreReadOnceForTheFleet counts the reads of the servers' load reports in a fleet
// without faults: only the primary reads them, and only while a router follows reports.
func TestReportsAreReadOnceForTheFleet(t *testing.T) {
	for name, settings := range map[string]Settings{"calls": PlatformSettings(), "no calls": {}} {
		w := startedFleet(t, 8, settings)
		before := w.reportReads
		w.run(w.now + 10*time.Second)
		each := float64(w.reportReads-before) / 10 / float64(len(w.plans))
		t.Logf("%s: %.2f reads a second of each server's report", name, each)
		if settings.Calls && (each < 1.4 || each > 3.2) || !settings.Calls && each > 0 {
			t.Errorf("%s: %.2f reads a second of each server's report, want 1.4 to 3.2 with calls and none without", name, each)
		}
	}
}

// TestChangesAndUpdatesResumeAfterLossOfPrimary takes the primary away in several ways and checks
// how long it takes until a change is acknowledged, and until every router has an update again.
func TestChangesAndUpdatesResumeAfterLossOfPrimary(t *testing.T) {
	losses := map[string]func(w *World, primary *machine){
		"killed":     func(w *World, primary *machine) { w.kill(primary) },
		"power lost": func(w *World, primary *machine) { w.powerOff(primary.name) },
		"frozen":     func(_ *World, primary *machine) { primary.incarnation.freeze() },
		"cut off":    func(w *World, primary *machine) { w.cutOff(primary.name, true) },
		"cut from the core": func(w *World, primary *machine) {
			w.cutOff(primary.name, true, "courier-1", "courier-2", "courier-3", "courier-4", "courier-5", "courier-6",
				"courier-7")
		},
		"outbound links cut": func(w *World, primary *machine) {
			for _, other := range w.machines {
				w.link(primary.name, other.name).cut = true
			}
		},
		"inbound links cut": func(w *World, primary *machine) {
			for _, other := range w.machines {
				w.link(other.name, primary.name).cut = true
			}
		},
		"stopped": func(w *World, primary *machine) {
			control, i := primary.control, primary.incarnation
			i.Go(func() { control.Leave(leaveTimeout); i.world.outside.Go(func() { w.kill(primary) }) })
		},
	}
	for name, lose := range losses {
		var worstChange, worstUpdate time.Duration
		for seed := range uint64(6) {
			w := startedFleet(t, 20+seed, PlatformSettings())
			began, primary := w.now, w.primary()
			lose(w, primary)
			lastUpdate := map[string]time.Time{}
			for _, m := range w.nodes(membership.Router) {
				lastUpdate[m.name] = m.router.LastUpdateAt()
			}
			change := w.editAtPrimary(began, w.harmlessEdit("nowhere", 0))
			update := w.timeUntil(began, func() bool {
				for _, m := range w.nodes(membership.Router) {
					if !m.router.LastUpdateAt().After(lastUpdate[m.name].Add(700 * time.Millisecond)) {
						return false
					}
				}
				return true
			})
			if change < 0 || update < 0 {
				t.Errorf("%s, seed %d: change after %s, update after %s, want both in time", name, seed, change, update)
			}
			worstChange, worstUpdate = max(worstChange, change), max(worstUpdate, update)
		}
		t.Logf("%-18s change acknowledged within %s, update at every router within %s", name, worstChange, worstUpdate)
		if worstChange > 4*time.Second || worstUpdate > 4500*time.Millisecond {
			t.Errorf("%s: change after %s, want 4 s at most; update after %s, want 4.5 s at most", name, worstChange, worstUpdate)
		}
	}
}

// editAtPrimary retries a change at the controllers that hold the lease until one accepts it, and
// returns the time since began. It acts as an operator whom the other controllers redirect to the
// primary.
func (w *World) editAtPrimary(began time.Duration, edit controlplane.Edit) time.Duration {
	done := false
	w.outside.Go(func() {
		for ends := w.now + incidentTimeout; w.now < ends && !done; w.wait(20, 20) {
			for _, m := range w.nodes(membership.Controller) {
				if m.incarnation == nil || m.incarnation.ended || m.incarnation.frozen ||
					m.control == nil || !m.control.Coordinator().HasLease() {
					continue
				}
				control := m.control
				_, err := w.outside.call(m.name, time.Second, func(*incarnation) (any, error) { return control.Edit(edit) })
				done = done || err == nil
			}
		}
	})
	return w.timeUntil(began, func() bool { return done })
}
