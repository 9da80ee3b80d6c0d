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

// changeInput is the input of an operation: a read, or an operator's order to replace the
// configuration's revision base by revision next. The field order is the order's number.
type changeInput struct {
	read       bool
	order      int
	base, next uint64
}

// changeOutput is the revision that a read returned, or the outcome of an order.
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

// register is the state of the model: the configuration's revision, and one bit for each order
// that took effect.
type register struct {
	revision uint64
	applied  uint64
}

// registerModel is the model by which histories of orders and reads are checked. An order with
// an unknown outcome may take effect at any later time, or never. An order that took effect and
// is sent again is accepted without changing anything, and is never refused.
var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(register), input.(changeInput), output.(changeOutput)
		bit := uint64(1) << in.order
		applied, baseMatches := current.applied&bit != 0, current.revision == in.base
		after := register{revision: in.next, applied: current.applied | bit}
		switch {
		case in.read:
			return out.revision == current.revision, current
		case out.outcome == conflictOutcome:
			return !applied && !baseMatches, current
		case applied:
			return true, current
		case out.outcome == acceptedOutcome:
			return baseMatches, after
		case baseMatches:
			return true, after
		}
		return true, current
	},
}

// operatorsHistory runs operators that send orders to any controller, and records the history
// of their operations.
type operatorsHistory struct {
	world      *World
	operations []porcupine.Operation
	orders     []changeInput
	running    int
}

// maxOrders bounds the orders of a history; the model has one bit for each.
const maxOrders = 60

// record adds an operation to the history. An operation with an unknown outcome has no end, as it
// may take effect at any later time.
func (o *operatorsHistory) record(client int, input changeInput, output changeOutput, began time.Duration) {
	ended := o.world.now.Nanoseconds()
	if output.outcome == unknownOutcome {
		ended = math.MaxInt64 / 2
	}
	o.operations = append(o.operations, porcupine.Operation{
		ClientId: client,
		Input:    input,
		Output:   output,
		Call:     began.Nanoseconds(),
		Return:   ended,
	})
}

// anyController returns a random controller's machine, whether it leads or not.
func (o *operatorsHistory) anyController() *machine {
	return o.world.anyNode(membership.Controller)
}

// read reads the configuration at one controller and records the read. It returns false if the
// controller returns no configuration, for example because it can't be sure that it still leads.
func (o *operatorsHistory) read(client int) (uint64, bool) {
	m, began := o.anyController(), o.world.now
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
	o.record(client, changeInput{read: true}, changeOutput{revision: configuration.Revision}, began)
	return configuration.Revision, true
}

// send sends an order to one controller and records the outcome.
func (o *operatorsHistory) send(client int, input changeInput) {
	m, began := o.anyController(), o.world.now
	text := fmt.Sprintf(`{"revision":%d,"annotations":{"order":%d}}`, input.next, input.order)
	_, err := o.world.outside.call(m.name, 2*time.Second, func(*incarnation) (any, error) {
		if m.control == nil {
			return nil, failure.New(failure.NoPrimary, "the disk is being opened")
		}
		return m.control.Edit(controlplane.Edit{
			BaseRevision: &input.base,
			Digest:       text,
			Apply:        func([]byte) ([]byte, error) { return []byte(text), nil },
		})
	})
	if err == nil {
		o.record(client, input, changeOutput{outcome: acceptedOutcome}, began)
		return
	}
	switch failure.CodeOf(err) {
	case failure.RevisionConflict:
		o.record(client, input, changeOutput{outcome: conflictOutcome}, began)
	case failure.NoPrimary, failure.NotPrimary:
		// The order certainly did not take effect, so the history contains no operation for it.
	default:
		o.record(client, input, changeOutput{outcome: unknownOutcome}, began)
	}
}

// operate runs one operator until the given time. In each round the operator reads the configuration
// and then either sends a new order based on the revision that it read last, or repeats an earlier
// order of any operator.
func (o *operatorsHistory) operate(client int, until time.Duration) {
	known := uint64(0)
	for o.world.now < until {
		if revision, found := o.read(client); found {
			known = revision
		}
		switch random := o.world.random; {
		case len(o.orders) > 0 && random.IntN(3) == 0:
			o.send(client, o.orders[random.IntN(len(o.orders))])
		case len(o.orders) < maxOrders:
			input := changeInput{order: len(o.orders), base: known, next: known + 1}
			o.orders = append(o.orders, input)
			o.send(client, input)
		}
		o.world.wait(50, 900)
	}
	o.running--
}

// controlFaults maps the name of each fault of the core to the function that injects the fault until
// a point of virtual time.
var controlFaults = map[string]func(world *World, until time.Duration){
	"a primary cut off for 20 s": func(world *World, until time.Duration) {
		primary := world.primary()
		if primary == nil {
			return
		}
		world.cutOff(primary.name, true)
		world.wait(20_000, 20_000)
		world.cutOff(primary.name, false)
		world.wait(200, 1500)
		if other := world.primary(); other != nil && other != primary {
			world.killFor(other, 500, 1500)
		}
	},
	"primaries killed": func(world *World, until time.Duration) {
		for world.now < until {
			world.wait(2000, 5000)
			if primary := world.primary(); primary != nil {
				world.killFor(primary, 300, 1500)
			}
		}
	},
	"primaries stopped in order": func(world *World, until time.Duration) {
		for world.now < until {
			world.wait(3000, 6000)
			if primary := world.primary(); primary != nil {
				world.stopFor(primary, 300, 800)
			}
		}
	},
	"primaries frozen": func(world *World, until time.Duration) {
		for world.now < until {
			world.wait(2000, 5000)
			if primary := world.primary(); primary != nil {
				world.freezeFor(primary)
			}
		}
	},
	"links cut one way": func(world *World, until time.Duration) {
		for world.now < until {
			world.wait(1000, 4000)
			if primary := world.primary(); primary != nil {
				inwards := world.random.IntN(2) == 0
				world.isolate(primary.name, inwards, !inwards)
				world.wait(1000, 6000)
				world.heal()
			}
		}
	},
	"all power lost": func(world *World, until time.Duration) {
		for world.now < until {
			world.wait(3000, 7000)
			world.restartAll(membership.Controller)
		}
	},
}

// TestOrdersAndReadsAreLinearizable runs four operators that send concurrent orders, repeat orders
// and read at any controller, under each fault of the core and with several seeds. It checks
// that the history is linearizable.
func TestOrdersAndReadsAreLinearizable(t *testing.T) {
	const (
		operators    = 4
		length       = 30 * time.Second
		checkTimeout = 20 * time.Second
	)
	for name, injectFault := range controlFaults {
		t.Run(name, func(t *testing.T) {
			accepted, unknown := 0, 0
			for seed := range uint64(12) {
				world := startedFleet(t, 400+seed, PlatformSettings())
				history := &operatorsHistory{world: world, running: operators}
				until := world.now + length
				for client := range operators {
					world.outside.Go(func() { history.operate(client, until) })
				}
				world.outside.Go(func() { injectFault(world, until-5*time.Second) })
				world.run(until + 15*time.Second)
				if history.running > 0 {
					t.Fatalf("seed %d: %d operators did not finish", seed, history.running)
				}
				for _, operation := range history.operations {
					switch operation.Output.(changeOutput).outcome {
					case acceptedOutcome:
						accepted++
					case unknownOutcome:
						unknown++
					}
				}
				if result := porcupine.CheckOperationsTimeout(registerModel, history.operations, checkTimeout); result != porcupine.Ok {
					t.Errorf("seed %d: linearizability check of %d operations: got %v, want Ok", seed, len(history.operations), result)
				}
			}
			t.Logf("%d accepted, %d unknown", accepted, unknown)
			if accepted < 12 {
				t.Errorf("got %d accepted orders, want at least 12", accepted)
			}
		})
	}
}

// TestModelRejectsInvalidHistories checks that the model rejects one history of each kind of
// violation.
func TestModelRejectsInvalidHistories(t *testing.T) {
	order := func(number int, base uint64) changeInput {
		return changeInput{order: number, base: base, next: base + 1}
	}
	outcomeIs := func(o outcome) changeOutput { return changeOutput{outcome: o} }
	read := func(revision uint64) changeOutput { return changeOutput{revision: revision} }
	for name, steps := range map[string][]porcupine.Operation{
		"two orders accepted on one base": {
			{Input: order(0, 0), Output: outcomeIs(acceptedOutcome)},
			{Input: order(1, 0), Output: outcomeIs(acceptedOutcome)},
		},
		"accepted order refused when repeated": {
			{Input: order(0, 0), Output: outcomeIs(acceptedOutcome)},
			{Input: order(0, 0), Output: outcomeIs(conflictOutcome)},
		},
		"stale read": {
			{Input: order(0, 0), Output: outcomeIs(acceptedOutcome)},
			{Input: changeInput{read: true}, Output: read(0)},
		},
		"order applied twice": {
			{Input: order(0, 0), Output: outcomeIs(acceptedOutcome)},
			{Input: order(1, 1), Output: outcomeIs(acceptedOutcome)},
			{Input: order(0, 0), Output: outcomeIs(acceptedOutcome)},
			{Input: changeInput{read: true}, Output: read(1)},
		},
		"order on the current base refused": {{Input: order(0, 0), Output: outcomeIs(conflictOutcome)}},
	} {
		for position := range steps {
			steps[position].Call, steps[position].Return = int64(2*position), int64(2*position+1)
		}
		if porcupine.CheckOperations(registerModel, steps) {
			t.Errorf("%s: the model accepts the history", name)
		}
	}
}
