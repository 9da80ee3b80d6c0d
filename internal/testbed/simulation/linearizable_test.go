//go:build !race

package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// changeInput is one order of an operator, or a read.
type changeInput struct {
	read         bool
	order        int
	builds, next uint64
}

// changeOutput is how it ended: what a read showed, or one of the outcomes.
type changeOutput struct {
	revision uint64
	outcome  outcome
}

type outcome string

const (
	acceptedOutcome outcome = "accepted"
	conflictOutcome outcome = "conflict"
	unknownOutcome  outcome = "unknown"
)

// register is the configuration as operators may see it: its revision, and the orders that
// took effect, a bit each.
type register struct {
	revision uint64
	taken    uint64
}

// registerModel judges histories of orders and reads. An order with an unknown outcome may
// take effect at any later time, or never; one that took effect is accepted again, changes
// nothing again, and is never refused.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		current, asked, answered := state.(register), input.(changeInput), output.(changeOutput)
		bit := uint64(1) << asked.order
		taken, fits := current.taken&bit != 0, current.revision == asked.builds
		after := register{revision: asked.next, taken: current.taken | bit}
		switch {
		case asked.read:
			return answered.revision == current.revision, current
		case answered.outcome == conflictOutcome:
			return !taken && !fits, current
		case taken:
			return true, current
		case answered.outcome == acceptedOutcome:
			return fits, after
		case fits:
			return true, after
		}
		return true, current
	},
}

// operatorsHistory has operators send orders to any controller while the day goes on, and
// keeps what they saw.
type operatorsHistory struct {
	world      *World
	operations []porcupine.Operation
	orders     []changeInput
	running    int
}

// mostOrders is how many orders the model tells apart.
const mostOrders = 60

func (o *operatorsHistory) note(c int, asked changeInput, answered changeOutput, from time.Duration) {
	e := o.world.now.Nanoseconds()
	if answered.outcome == unknownOutcome {
		e = math.MaxInt64 / 2
	}
	o.operations = append(o.operations, porcupine.Operation{
		ClientId: c,
		Input:    asked,
		Output:   answered,
		Call:     from.Nanoseconds(),
		Return:   e,
	})
}

// anyControl is a controller that runs, whether it leads or not.
func (o *operatorsHistory) anyControl() *machine {
	return o.world.anyNode(membership.Controller)
}

// read asks one controller for the configuration; who can't be sure gives no answer.
func (o *operatorsHistory) read(c int) (uint64, bool) {
	m, began := o.anyControl(), o.world.now
	content, err := o.world.outside.call(m.name, time.Second, func(*incarnation) (any, error) {
		if m.control == nil {
			return nil, failure.New(failure.NoPrimary, "the disk is being opened")
		}
		_, _, state, err := m.control.Read()
		if err != nil {
			return nil, err
		}
		return state.Configuration, nil
	})
	if err != nil {
		return 0, false
	}
	configuration, err := config.Check(content.([]byte))
	if err != nil {
		return 0, false
	}
	o.note(c, changeInput{read: true}, changeOutput{revision: configuration.Revision}, began)
	return configuration.Revision, true
}

// send brings an order to one controller.
func (o *operatorsHistory) send(c int, asked changeInput) {
	m, began := o.anyControl(), o.world.now
	text := fmt.Sprintf(`{"revision":%d,"annotations":{"order":%d}}`, asked.next, asked.order)
	_, err := o.world.outside.call(m.name, 2*time.Second, func(*incarnation) (any, error) {
		if m.control == nil {
			return nil, failure.New(failure.NoPrimary, "the disk is being opened")
		}
		return m.control.Edit(controlplane.Edit{
			BaseRevision: &asked.builds,
			Digest:       text,
			Apply:        func([]byte) ([]byte, error) { return []byte(text), nil },
		})
	})
	if err == nil {
		o.note(c, asked, changeOutput{outcome: acceptedOutcome}, began)
		return
	}
	switch failure.CodeOf(err) {
	case failure.RevisionConflict:
		o.note(c, asked, changeOutput{outcome: conflictOutcome}, began)
	case failure.NoPrimary, failure.NotPrimary:
		// It certainly was not taken.
	default:
		o.note(c, asked, changeOutput{outcome: unknownOutcome}, began)
	}
}

// operate is one operator's day: orders on what it read last, some with the numbers of
// others, and any earlier order again.
func (o *operatorsHistory) operate(c int, until time.Duration) {
	known := uint64(0)
	for o.world.now < until {
		if revision, found := o.read(c); found {
			known = revision
		}
		switch random := o.world.random; {
		case len(o.orders) > 0 && random.IntN(3) == 0:
			o.send(c, o.orders[random.IntN(len(o.orders))])
		case len(o.orders) < mostOrders:
			asked := changeInput{order: len(o.orders), builds: known, next: known + 1}
			o.orders = append(o.orders, asked)
			o.send(c, asked)
		}
		o.world.wait(50, 900)
	}
	o.running--
}

// controlFaults are what happens to the core meanwhile, by their names.
var controlFaults = map[string]func(fleet *World, until time.Duration){
	"a primary cut off for 20 s": func(fleet *World, until time.Duration) {
		primary := fleet.primary()
		if primary == nil {
			return
		}
		fleet.cutOff(primary.name, true)
		fleet.wait(20_000, 20_000)
		fleet.cutOff(primary.name, false)
		fleet.wait(200, 1500)
		if other := fleet.primary(); other != nil && other != primary {
			fleet.killFor(other, 500, 1500)
		}
	},
	"primaries killed": func(fleet *World, until time.Duration) {
		for fleet.now < until {
			fleet.wait(2000, 5000)
			if primary := fleet.primary(); primary != nil {
				fleet.killFor(primary, 300, 1500)
			}
		}
	},
	"primaries stopped in order": func(fleet *World, until time.Duration) {
		for fleet.now < until {
			fleet.wait(3000, 6000)
			if primary := fleet.primary(); primary != nil {
				fleet.stopFor(primary, 300, 800)
			}
		}
	},
	"primaries frozen": func(fleet *World, until time.Duration) {
		for fleet.now < until {
			fleet.wait(2000, 5000)
			if primary := fleet.primary(); primary != nil {
				fleet.freezeFor(primary)
			}
		}
	},
	"links cut one way": func(fleet *World, until time.Duration) {
		for fleet.now < until {
			fleet.wait(1000, 4000)
			if primary := fleet.primary(); primary != nil {
				inwards := fleet.random.IntN(2) == 0
				fleet.isolate(primary.name, inwards, !inwards)
				fleet.wait(1000, 6000)
				fleet.heal()
			}
		}
	},
	"all power lost": func(fleet *World, until time.Duration) {
		for fleet.now < until {
			fleet.wait(3000, 7000)
			fleet.herd(membership.Controller)
		}
	},
}

// TestOrdersAndReadsAreLinearizable has four operators race, repeat and read at any controller
// through each fault of the control side, under several seeds, in virtual time.
func TestOrdersAndReadsAreLinearizable(t *testing.T) {
	const (
		operators = 4
		length    = 30 * time.Second
		judging   = 20 * time.Second
	)
	for name, problem := range controlFaults {
		t.Run(name, func(t *testing.T) {
			accepted, unknown := 0, 0
			for seed := range uint64(12) {
				fleet := begun(t, 400+seed, PlatformSettings())
				history := &operatorsHistory{world: fleet, running: operators}
				until := fleet.now + length
				for c := range operators {
					fleet.outside.Go(func() { history.operate(c, until) })
				}
				fleet.outside.Go(func() { problem(fleet, until-5*time.Second) })
				fleet.run(until + 15*time.Second)
				if history.running > 0 {
					t.Fatalf("seed %d: %d operators never ended", seed, history.running)
				}
				for _, operation := range history.operations {
					switch operation.Output.(changeOutput).outcome {
					case acceptedOutcome:
						accepted++
					case unknownOutcome:
						unknown++
					}
				}
				if result := porcupine.CheckOperationsTimeout(registerModel, history.operations, judging); result != porcupine.Ok {
					t.Errorf("seed %d: %v over %d operations", seed, result, len(history.operations))
				}
			}
			t.Logf("%d accepted, %d unknown", accepted, unknown)
			if accepted < 12 {
				t.Error("hardly anything was accepted")
			}
		})
	}
}

// TestTheModelSeesWhatMayNotBe seeds one violation of each kind.
func TestTheModelSeesWhatMayNotBe(t *testing.T) {
	order := func(number int, builds uint64) changeInput {
		return changeInput{order: number, builds: builds, next: builds + 1}
	}
	says := func(o outcome) changeOutput { return changeOutput{outcome: o} }
	read := func(revision uint64) changeOutput { return changeOutput{revision: revision} }
	for name, steps := range map[string][]porcupine.Operation{
		"two on one base":        {{Input: order(0, 0), Output: says(acceptedOutcome)}, {Input: order(1, 0), Output: says(acceptedOutcome)}},
		"sent again and refused": {{Input: order(0, 0), Output: says(acceptedOutcome)}, {Input: order(0, 0), Output: says(conflictOutcome)}},
		"an old read":            {{Input: order(0, 0), Output: says(acceptedOutcome)}, {Input: changeInput{read: true}, Output: read(0)}},
		"made twice": {{Input: order(0, 0), Output: says(acceptedOutcome)}, {Input: order(1, 1), Output: says(acceptedOutcome)}, {Input: order(0,
			0), Output: says(acceptedOutcome)}, {Input: changeInput{read: true}, Output: read(1)}},
		"refused by an old base": {{Input: order(0, 0), Output: says(conflictOutcome)}},
	} {
		for position := range steps {
			steps[position].Call, steps[position].Return = int64(2*position), int64(2*position+1)
		}
		if porcupine.CheckOperations(registerModel, steps) {
			t.Errorf("%s is not seen", name)
		}
	}
}
