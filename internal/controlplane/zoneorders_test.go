package controlplane

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// sentOrder is one order on its way: what it wants, and the connection that brings it.
type sentOrder struct {
	evacuate   bool
	connection Connection
}

// zoneModel is a zone with one operator who sends an order again that has no answer, a network that
// delays orders for any time, and primaries that take over from each other. A connection has one request
// at a time, so that one order is late on it at most. Time goes on by one with each step.
type zoneModel struct {
	now    time.Time
	orders *zoneOrders
	// evacuated is how the zone is, wanted what was acknowledged last.
	evacuated, wanted bool
	connections       uint64
	// pool are connections that rest; under way are orders that may still arrive, on theirs.
	pool     []Connection
	underWay []sentOrder
}

func newZoneModel() *zoneModel {
	start := time.Unix(1_000_000, 0)
	return &zoneModel{now: start, orders: newZoneOrders(start)}
}

func (z *zoneModel) advance() { z.now = z.now.Add(time.Millisecond) }

// connect makes a connection.
func (z *zoneModel) connect() Connection {
	z.advance()
	z.connections++
	return Connection{ID: z.connections, SentAfter: z.now}
}

// arrive has the primary take an order, and returns whether it was accepted.
func (z *zoneModel) arrive(sent sentOrder) error {
	z.advance()
	if z.evacuated == sent.evacuate {
		return nil
	}
	order := ZoneOrder{Zone: "north", Evacuate: sent.evacuate, Connection: sent.connection}
	if err := z.orders.admit(order); err != nil {
		return err
	}
	z.evacuated = sent.evacuate
	z.orders.record(order, z.now)
	return nil
}

// order has the operator decide and send until an answer comes: on a connection that rests, which may
// be refused as late, or on a new one, which may not.
func (z *zoneModel) order(t *rapid.T, evacuate bool) {
	for attempt := 0; ; attempt++ {
		connection := z.connect()
		if rested := len(z.pool) > 0 && rapid.Bool().Draw(t, "rested"); rested {
			connection, z.pool = z.pool[0], z.pool[1:]
		}
		sent := sentOrder{evacuate: evacuate, connection: connection}
		if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 && attempt < 3 {
			// No answer comes; the operator sends again.
			z.underWay = append(z.underWay, sent)
			continue
		}
		if err := z.arrive(sent); err != nil {
			if failure.CodeOf(err) != failure.LateOrder {
				t.Fatal(err)
			}
			if connection.ID == z.connections {
				t.Fatalf("an order on a new connection is refused: %v", err)
			}
			continue
		}
		z.advance()
		z.pool = append(z.pool, Connection{ID: connection.ID, SentAfter: z.now})
		z.wanted = evacuate
		return
	}
}

// TestLateOrdersChangeNoZone draws histories of orders that are sent again, delayed, and brought in
// another order, with takeovers between: after an order was acknowledged the zone is as it said
// until the next one is sent, and an order on a new connection is never refused.
func TestLateOrdersChangeNoZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newZoneModel()
		check := func() {
			if model.evacuated != model.wanted {
				t.Fatalf("the zone is evacuated %t, and %t was acknowledged last", model.evacuated, model.wanted)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) { model.order(t, rapid.Bool().Draw(t, "evacuate")) },
			"late": func(t *rapid.T) {
				if len(model.underWay) == 0 {
					t.Skip("nothing is under way")
				}
				i := rapid.IntRange(0, len(model.underWay)-1).Draw(t, "which")
				late := model.underWay[i]
				model.underWay = append(model.underWay[:i], model.underWay[i+1:]...)
				_ = model.arrive(late)
			},
			"takeover": func(*rapid.T) {
				model.advance()
				model.orders = newZoneOrders(model.now)
			},
			"": func(*rapid.T) { check() },
		})
	})
}

// zoneInput is a read of a zone, or an order on it.
type zoneInput struct{ read, evacuate bool }

// zoneRegister is whether a zone is evacuated, as a register.
var zoneRegister = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		asked := input.(zoneInput)
		if asked.read {
			return output.(bool) == state.(bool), state
		}
		return true, asked.evacuate
	},
}

// orderHistory lets an operator evacuate and restore a zone while copies of its earlier orders
// arrive late, and returns what it saw. Guarded orders have their connection with them. An unguarded copy
// arrives between an order's answer and the next reads, so that its harm shows in each history.
func orderHistory(t *testing.T, primary *Controller, zone string, guarded bool) []porcupine.Operation {
	t.Helper()
	began := time.Now()
	var late sync.WaitGroup
	var history []porcupine.Operation
	observe := func(asked zoneInput, act func() bool) {
		from := time.Since(began)
		answered := act()
		history = append(history, porcupine.Operation{Input: asked, Output: answered, Call: from.Nanoseconds(), Return: time.Since(began).Nanoseconds()})
	}
	random := rand.New(rand.NewPCG(7, uint64(len(zone))))
	var sent []ZoneOrder
	for number := range 40 {
		order := ZoneOrder{Zone: zone, Evacuate: number%2 == 0}
		if guarded {
			order.Connection = Connection{ID: uint64(number + 1), SentAfter: primary.runtime.Now()}
		}
		observe(zoneInput{evacuate: order.Evacuate}, func() bool {
			if _, err := primary.Edit(order.Edit()); err != nil {
				t.Errorf("an order on a new connection: %v", err)
			}
			return order.Evacuate
		})
		sent = append(sent, order)
		copied := sent[random.IntN(len(sent))]
		if guarded {
			late.Go(func() { _, _ = primary.Edit(copied.Edit()) })
		} else if _, err := primary.Edit(copied.Edit()); err != nil {
			t.Errorf("a copy without its connection: %v", err)
		}
		for range 3 {
			observe(zoneInput{read: true}, func() bool {
				_, _, state, err := primary.Read()
				if err != nil {
					t.Error(err)
					return false
				}
				evacuated, err := config.ZoneEvacuated(state.Configuration, zone)
				if err != nil {
					t.Error(err)
				}
				return evacuated
			})
		}
	}
	late.Wait()
	return history
}

// TestZoneOrdersAreLinearizable has porcupine judge what three operators saw at once, each with a zone
// of its own, while late copies of their orders arrive. Without the connections it sees that a copy
// holds again.
func TestZoneOrdersAreLinearizable(t *testing.T) {
	_, primary := newCore(t, plain)
	histories := make([][]porcupine.Operation, 3)
	var operators sync.WaitGroup
	for i := range histories {
		operators.Go(func() { histories[i] = orderHistory(t, primary, fmt.Sprint("zone-", i), true) })
	}
	operators.Wait()
	for i, history := range histories {
		if result := porcupine.CheckOperationsTimeout(zoneRegister, history, time.Minute); result != porcupine.Ok {
			t.Errorf("zone %d: the history is not that of one register: %v", i, result)
		}
	}
	if result := porcupine.CheckOperationsTimeout(zoneRegister, orderHistory(t, primary, "unguarded", false), time.Minute); result == porcupine.Ok {
		t.Error("no copy without its connection did any harm: the test shows nothing")
	}
}

// TestOrdersThatNameAVersionNeedIt: on the product's own interface an order may name the version that
// it was decided on.
func TestOrdersThatNameAVersionNeedIt(t *testing.T) {
	_, primary := newCore(t, plain)
	order := ZoneOrder{Zone: "north", Evacuate: true}
	version, err := primary.Edit(order.Edit())
	if err != nil {
		t.Fatal(err)
	}
	restore := ZoneOrder{Zone: "north"}.Edit()
	restore.Expected = &replication.Version{Epoch: version.Epoch, Number: version.Number + 1}
	if _, err := primary.Edit(restore); failure.CodeOf(err) != failure.VersionConflict {
		t.Errorf("decided on another version: %v", err)
	}
	restore.Expected = &version
	if _, err := primary.Edit(restore); err != nil {
		t.Errorf("decided on the version in force: %v", err)
	}
	if _, err := primary.Edit(restore); failure.CodeOf(err) != failure.VersionConflict {
		t.Errorf("late: %v", err)
	}
}
