package replay

import (
	"encoding/json"
	"net/http"
	"time"
)

// command is an order to a server, as its caller writes it.
type command struct {
	Kind         string  `json:"opKind"`
	Phase        string  `json:"phase"`
	Owner        string  `json:"owner"`
	FencingToken *uint64 `json:"fenceToken"`
	Expected     *int    `json:"expectedCount"`
}

// takeOrder takes an order up, or says why not.
func (server *modelServer) takeOrder(writer http.ResponseWriter, inbound *http.Request) {
	var asked command
	err := json.NewDecoder(inbound.Body).Decode(&asked)
	event := Event{Kind: Ordered, Server: server.ID, Service: server.Service, Zone: server.Zone, Owner: asked.Owner, Stage: asked.Phase}
	if asked.FencingToken != nil {
		event.FencingToken = *asked.FencingToken
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	target := inbound.Header.Get(headerTarget)
	switch {
	case target != "" && target != server.ID:
		event.Status = http.StatusMisdirectedRequest
	case err != nil, asked.Owner == "", asked.FencingToken == nil, asked.Kind != "phase", asked.Phase != stagePrefill && asked.Phase != stageDecode:
		event.Status = http.StatusBadRequest
	case asked.Expected != nil && *asked.Expected != server.orders, server.turning:
		event.Status = http.StatusConflict
	case server.phase == asked.Phase:
		event.Status = http.StatusOK
	default:
		event.Status = http.StatusAccepted
		server.orders++
		server.turn(asked.Phase)
	}
	server.pool.book.Note(event)
	writer.Header().Set(headerServer, server.ID)
	writer.WriteHeader(event.Status)
}

// turn changes the server's part: what runs comes to its end, what has not begun is
// turned away.
func (server *modelServer) turn(phase string) {
	server.turning = true
	for len(server.engine.waiting) > 0 {
		server.engine.end(server.engine.waiting[0], "order")
	}
	server.progress.Broadcast()
	go func() {
		server.mutex.Lock()
		for server.engine.busy() && server.lifetime.Err() == nil {
			server.progress.Wait()
		}
		server.mutex.Unlock()
		if !pause(server.lifetime, server.shape.Switch) {
			return
		}
		server.mutex.Lock()
		defer server.mutex.Unlock()
		server.phase, server.turning, server.engine.readsOwn = phase, false, phase == stageDecode
		server.progress.Broadcast()
	}()
}

// listed is how the server stands on the platform's list.
func (server *modelServer) listed(now time.Time) serverPage {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	page := serverPage{ID: server.ID, Backend: server.Service, Address: server.Address, Zone: server.Zone, Revision: "v1", Slots: server.shape.Slots, State: stateServing,
		Phase: server.phase}
	if server.shape.Plain == 0 {
		page.ModelIDs = server.models()
	}
	if server.draining {
		page.State = stateDraining
	}
	if left := server.coldUntil.Sub(now); left > 0 {
		page.ColdLeft = left.Milliseconds()
	}
	return page
}
