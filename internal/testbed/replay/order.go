package replay

import (
	"encoding/json"
	"net/http"
	"time"
)

// serverOrder is an order to a server, as its caller writes it.
type serverOrder struct {
	Kind         string  `json:"opKind"`
	Phase        string  `json:"phase"`
	Owner        string  `json:"owner"`
	FencingToken *uint64 `json:"fenceToken"`
	Expected     *int    `json:"expectedCount"`
}

// takeOrder takes an order up, or says why not.
func (m *modelServer) takeOrder(writer http.ResponseWriter, inbound *http.Request) {
	var asked serverOrder
	err := json.NewDecoder(inbound.Body).Decode(&asked)
	event := Event{Kind: Ordered, Server: m.ID, Service: m.Service, Zone: m.Zone, Owner: asked.Owner, Stage: asked.Phase}
	if asked.FencingToken != nil {
		event.FencingToken = *asked.FencingToken
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	t := inbound.Header.Get(headerTarget)
	switch {
	case t != "" && t != m.ID:
		event.Status = http.StatusMisdirectedRequest
	case err != nil, asked.Owner == "", asked.FencingToken == nil, asked.Kind != "phase", asked.Phase != phasePrefill && asked.Phase != phaseDecode:
		event.Status = http.StatusBadRequest
	case asked.Expected != nil && *asked.Expected != m.orders, m.turning:
		event.Status = http.StatusConflict
	case m.phase == asked.Phase:
		event.Status = http.StatusOK
	default:
		event.Status = http.StatusAccepted
		m.orders++
		m.changePhase(asked.Phase)
	}
	m.pool.events.Append(event)
	writer.Header().Set(headerServer, m.ID)
	writer.WriteHeader(event.Status)
}

// changePhase changes the server's part: what runs comes to its end, what has not begun is
// turned away.
func (m *modelServer) changePhase(phase string) {
	m.turning = true
	for len(m.engine.waiting) > 0 {
		m.engine.end(m.engine.waiting[0], "order")
	}
	m.progress.Broadcast()
	go func() {
		m.mutex.Lock()
		for m.engine.busy() && m.lifetime.Err() == nil {
			m.progress.Wait()
		}
		m.mutex.Unlock()
		if !sleep(m.lifetime, m.shape.Switch) {
			return
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.phase, m.turning, m.engine.readsOwn = phase, false, phase == phaseDecode
		m.progress.Broadcast()
	}()
}

// listed is how the server stands on the platform's list.
func (m *modelServer) listed(now time.Time) serverPage {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	page := serverPage{
		ID:       m.ID,
		Backend:  m.Service,
		Address:  m.Address,
		Zone:     m.Zone,
		Revision: "v1",
		Slots:    m.shape.Slots,
		State:    stateServing,
		Phase:    m.phase,
	}
	if m.shape.Plain == 0 {
		page.ModelIDs = m.models()
	}
	if m.draining {
		page.State = stateDraining
	}
	if left := m.warmUntil.Sub(now); left > 0 {
		page.ColdLeft = left.Milliseconds()
	}
	return page
}
