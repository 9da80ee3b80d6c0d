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

// sentOrder is an order that was sent, with the connection on which it arrives.
type sentOrder struct {
	evacuate   bool
	connection Connection
}

// zoneModel simulates a zone, an operator who repeats an order until it gets a response, a network that
// delays orders arbitrarily, and takeovers by other primaries. A connection carries one request at a time,
// so at most one late order can arrive on a connection. Each step advances the time by a millisecond.
type zoneModel struct {
	now    time.Time
	orders *zoneOrders
	// evacuated is the state of the zone, and wanted is the state that was acknowledged last.
	evacuated, wanted bool
	connections       uint64
	// pool holds the idle connections. inFlight holds the orders that may still arrive, each on its
	// own connection.
	pool     []Connection
	inFlight []sentOrder
}

func newZoneModel() *zoneModel {
	start := time.Unix(1_000_000, 0)
	return &zoneModel{now: start, orders: newZoneOrders(start)}
}

// advance advances the time by one step.
func (z *zoneModel) advance() { z.now = z.now.Add(time.Millisecond) }

// connect opens a connection.
func (z *zoneModel) connect() Connection {
	z.advance()
	z.connections++
	return Connection{ID: z.connections, SentAfter: z.now}
}

// arrive delivers an order to the primary, and returns the error with which it is refused.
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

// order lets the operator issue an order and send it until a response arrives. An order on a reused
// connection may be refused as late, but not an order on a new connection.
func (z *zoneModel) order(t *rapid.T, evacuate bool) {
	for attempt := 0; ; attempt++ {
		connection := z.connect()
		if reuse := len(z.pool) > 0 && rapid.Bool().Draw(t, "reuse"); reuse {
			connection, z.pool = z.pool[0], z.pool[1:]
		}
		sent := sentOrder{evacuate: evacuate, connection: connection}
		if rapid.IntRange(0, 2).Draw(t, "delayed") == 0 && attempt < 3 {
			// No response arrives, and the operator sends the order again.
			z.inFlight = append(z.inFlight, sent)
			continue
		}
		if err := z.arrive(sent); err != nil {
			if failure.CodeOf(err) != failure.LateOrder {
				t.Fatal(err)
			}
			if connection.ID == z.connections {
				t.Fatalf("an order on a new connection was refused: %v", err)
			}
			continue
		}
		z.advance()
		z.pool = append(z.pool, Connection{ID: connection.ID, SentAfter: z.now})
		z.wanted = evacuate
		return
	}
}

// TestLateOrdersChangeNoZone generates histories of orders that are repeated, delayed and reordered, with
// takeovers in between. After an order was acknowledged, the zone must keep the ordered state until the
// next order is sent. An order on a new connection must never be refused.
func TestLateOrdersChangeNoZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newZoneModel()
		check := func() {
			if model.evacuated != model.wanted {
				t.Fatalf("zone evacuated: got %t, want %t, which was acknowledged last", model.evacuated, model.wanted)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) { model.order(t, rapid.Bool().Draw(t, "evacuate")) },
			"late": func(t *rapid.T) {
				if len(model.inFlight) == 0 {
					t.Skip("no order is in flight")
				}
				i := rapid.IntRange(0, len(model.inFlight)-1).Draw(t, "index")
				late := model.inFlight[i]
				model.inFlight = append(model.inFlight[:i], model.inFlight[i+1:]...)
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

// zoneRegister models the state of a zone as a register, which holds whether the zone is evacuated.
var zoneRegister = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, input, output any) (bool, any) {
		operation := input.(zoneInput)
		if operation.read {
			return output.(bool) == state.(bool), state
		}
		return true, operation.evacuate
	},
}

// orderHistory evacuates and restores a zone as an operator while copies of earlier orders arrive late, and
// returns the history of the operations. If withConnections is set, the orders carry their connections. Otherwise
// each copy arrives after the response to an order and before the next reads, so that the history shows the
// effect of the copy.
func orderHistory(t *testing.T, primary *Controller, zone string, withConnections bool) []porcupine.Operation {
	t.Helper()
	began := time.Now()
	var late sync.WaitGroup
	var history []porcupine.Operation
	record := func(input zoneInput, act func() bool) {
		from := time.Since(began)
		output := act()
		history = append(history, porcupine.Operation{
			Input:  input,
			Output: output,
			Call:   from.Nanoseconds(),
			Return: time.Since(began).Nanoseconds(),
		})
	}
	random := rand.New(rand.NewPCG(7, uint64(len(zone))))
	var sent []ZoneOrder
	for number := range 40 {
		order := ZoneOrder{Zone: zone, Evacuate: number%2 == 0}
		if withConnections {
			order.Connection = Connection{ID: uint64(number + 1), SentAfter: primary.runtime.Now()}
		}
		record(zoneInput{evacuate: order.Evacuate}, func() bool {
			if _, err := primary.Edit(order.Edit()); err != nil {
				t.Errorf("an order on a new connection was refused: %v", err)
			}
			return order.Evacuate
		})
		sent = append(sent, order)
		copied := sent[random.IntN(len(sent))]
		if withConnections {
			late.Go(func() { _, _ = primary.Edit(copied.Edit()) })
		} else if _, err := primary.Edit(copied.Edit()); err != nil {
			t.Errorf("a copy without its connection was refused: %v", err)
		}
		for range 3 {
			record(zoneInput{read: true}, func() bool {
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

// TestZoneOrdersAreLinearizable lets porcupine check the histories of three concurrent operators, each with
// a zone of its own, while late copies of their orders arrive. Porcupine must also find that a history is
// not linearizable when the orders lack their connections and late copies take effect.
func TestZoneOrdersAreLinearizable(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	histories := make([][]porcupine.Operation, 3)
	var operators sync.WaitGroup
	for i := range histories {
		operators.Go(func() { histories[i] = orderHistory(t, primary, fmt.Sprint("zone-", i), true) })
	}
	operators.Wait()
	for i, history := range histories {
		if result := porcupine.CheckOperationsTimeout(zoneRegister, history, time.Minute); result != porcupine.Ok {
			t.Errorf("zone %d: the history is not linearizable: %v", i, result)
		}
	}
	if result := porcupine.CheckOperationsTimeout(zoneRegister, orderHistory(t, primary, "unguarded", false),
		time.Minute); result == porcupine.Ok {
		t.Error("the history of orders without connections is linearizable, so this test would detect no late order")
	}
}

// TestOrderWithAnOutdatedExpectedVersionIsRefused sends orders that state which version of the
// configuration they expect to change (Edit.Expected), as the API of Seamloom allows. Such an order must
// fail if another version is in force.
func TestOrderWithAnOutdatedExpectedVersionIsRefused(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	order := ZoneOrder{Zone: "north", Evacuate: true}
	version, err := primary.Edit(order.Edit())
	if err != nil {
		t.Fatal(err)
	}
	restore := ZoneOrder{Zone: "north"}.Edit()
	restore.Expected = &replication.Version{Epoch: version.Epoch, Number: version.Number + 1}
	if _, err := primary.Edit(restore); failure.CodeOf(err) != failure.VersionConflict {
		t.Errorf("an order that expects another version: got %v, want VersionConflict", err)
	}
	restore.Expected = &version
	if _, err := primary.Edit(restore); err != nil {
		t.Errorf("an order that expects the version in force: %v", err)
	}
	if _, err := primary.Edit(restore); failure.CodeOf(err) != failure.VersionConflict {
		t.Errorf("an order that expects an old version: got %v, want VersionConflict", err)
	}
}
