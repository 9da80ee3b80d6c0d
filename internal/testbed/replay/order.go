package replay

import (
	"encoding/json"
	"net/http"
	"time"
)

// serverOrder is the body of an order to a server.
type serverOrder struct {
	Kind         string  `json:"opKind"`
	Phase        string  `json:"phase"`
	Owner        string  `json:"owner"`
	FencingToken *uint64 `json:"fenceToken"`
	Expected     *int    `json:"expectedCount"`
}

// serveOrder accepts an order to change the phase, or refuses it with a status that gives the
// reason.
func (m *modelServer) serveOrder(writer http.ResponseWriter, inbound *http.Request) {
	var order serverOrder
	err := json.NewDecoder(inbound.Body).Decode(&order)
	event := Event{Kind: OrderReceived, Server: m.ID, Service: m.Service, Zone: m.Zone, Owner: order.Owner, WorkPhase: order.Phase}
	if order.FencingToken != nil {
		event.FencingToken = *order.FencingToken
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	expectedID := inbound.Header.Get(headerTarget)
	switch {
	case expectedID != "" && expectedID != m.ID:
		event.Status = http.StatusMisdirectedRequest
	case err != nil, order.Owner == "", order.FencingToken == nil, order.Kind != "phase",
		order.Phase != phasePrefill && order.Phase != phaseDecode:
		event.Status = http.StatusBadRequest
	case order.Expected != nil && *order.Expected != m.orders, m.changingPhase:
		event.Status = http.StatusConflict
	case m.phase == order.Phase:
		event.Status = http.StatusOK
	default:
		event.Status = http.StatusAccepted
		m.orders++
		m.changePhase(order.Phase)
	}
	m.pool.events.Append(event)
	writer.Header().Set(headerServer, m.ID)
	writer.WriteHeader(event.Status)
}

// changePhase changes the phase of the server: running requests complete first, queued requests are
// rejected.
func (m *modelServer) changePhase(phase string) {
	m.changingPhase = true
	for len(m.engine.queue) > 0 {
		m.engine.finish(m.engine.queue[0], "order")
	}
	m.progress.Broadcast()
	go func() {
		m.mutex.Lock()
		for m.engine.busy() && m.lifetime.Err() == nil {
			m.progress.Wait()
		}
		m.mutex.Unlock()
		if !sleep(m.lifetime, m.config.PhaseSwitch) {
			return
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.phase, m.changingPhase, m.engine.mixedPrefill = phase, false, phase == phaseDecode
		m.progress.Broadcast()
	}()
}

// listEntry returns the server's entry in the platform's list.
func (m *modelServer) listEntry(now time.Time) serverEntry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	entry := serverEntry{
		ID:       m.ID,
		Backend:  m.Service,
		Address:  m.Address,
		Zone:     m.Zone,
		Revision: "v1",
		Slots:    m.config.Slots,
		State:    stateServing,
		Phase:    m.phase,
	}
	if m.config.PlainSteps == 0 {
		entry.ModelIDs = m.models()
	}
	if m.draining {
		entry.State = stateDraining
	}
	if left := m.warmUntil.Sub(now); left > 0 {
		entry.ColdRemaining = left.Milliseconds()
	}
	return entry
}
