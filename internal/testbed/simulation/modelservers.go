package simulation

import (
	"net/http"
	"strconv"
	"time"

	"seamloom.example/seamloom/internal/adapters/modelserver"
	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// serverClient is one router's client of the model servers.
type serverClient struct {
	incarnation *incarnation
	running     map[string]*serverExchange
}

// serverExchange is one request of a router in progress at a server.
type serverExchange struct {
	replies *pipe
	// stopped means that the router has closed its side of the connection.
	stopped bool
	// refused means that the connection was refused, so that nothing was written.
	refused bool
	// closeServerSide closes the server's side of the connection.
	closeServerSide func()
}

// stop closes the router's side of the connection.
func (e *serverExchange) stop() {
	e.stopped = true
	e.replies.cond.Broadcast()
	if e.closeServerSide != nil {
		e.closeServerSide()
	}
}

// serverReply is the last message of an exchange: the server's status and the content of its reply.
type serverReply struct {
	status  int
	content any
}

// runKey returns the key of a run in serverClient.running.
func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// dial waits until a connection is open, which takes up to 2.5 s while dials are slow.
func (m *serverClient) dial() {
	world := m.incarnation.world
	length := time.Duration(world.random.IntN(400)) * time.Microsecond
	if world.slowDials > 0 && world.random.Float64() < world.slowDials {
		length = time.Duration(world.random.IntN(2500)) * time.Millisecond
	}
	m.incarnation.NewCond().Wait(length, func() bool { return false })
}

// requestHandler carries out a request at a server. It may send messages before it returns a status and the
// content of its reply. The argument send returns false once the router accepts no more messages.
type requestHandler func(engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) (status int, content any)

// dispatch sends one request to a server and returns its exchange. It returns nil only if the request
// was not sent. The argument maySend reports whether the router still has permission to send.
func (m *serverClient) dispatch(decision auction.Decision, maySend func() bool, handle requestHandler) *serverExchange {
	world := m.incarnation.world
	m.dial()
	if !maySend() {
		world.encounter("an order withheld after its dial")
		return nil
	}
	to := world.nameAt(decision.Address)
	exchange := &serverExchange{replies: newPipe(world, to, m.incarnation.name, m.incarnation)}
	if earlier, found := m.running[runKey(decision.ID, decision.Run)]; found {
		earlier.stop()
	}
	m.running[runKey(decision.ID, decision.Run)] = exchange
	arrive := func(first bool) {
		server := world.servers[to]
		if server == nil || server.incarnation.ended || server.incarnation.address != decision.Address {
			if first {
				exchange.refused = true
				exchange.replies.disconnect()
			}
			return
		}
		m.arrive(server, exchange, first, handle)
	}
	if !world.carry(m.incarnation.name, to, nil, func() { arrive(true) }) {
		// The request is lost in the network; the router waits until it gives up.
		return exchange
	}
	if l := world.link(m.incarnation.name, to); l.duplicate > 0 && world.random.Float64() < l.duplicate {
		world.encounter("an order delivered twice to a server")
		world.schedule(time.Duration(world.random.IntN(800))*time.Millisecond, nil, func() { arrive(false) })
	}
	return exchange
}

// arrive calls handle at a server that a request has reached. The router receives messages and the reply
// for the first arrival only: the server also handles a duplicate, but its messages and reply are dropped.
func (m *serverClient) arrive(server *modelServer, exchange *serverExchange, first bool, handle requestHandler) {
	world := m.incarnation.world
	conn := fleet.NewConnection(server.incarnation)
	forgetServer := func() {}
	if first {
		forgetServer = server.incarnation.onEnd(exchange.replies.disconnect)
	}
	closeServerSide := func() { world.carry(m.incarnation.name, server.plan.Name, server.incarnation, conn.Close) }
	if first {
		exchange.closeServerSide = closeServerSide
	}
	forgetRouter := m.incarnation.onEnd(closeServerSide)
	server.incarnation.Go(func() {
		defer forgetRouter()
		if server.engine.Unresponsive() {
			conn.Wait(time.Minute)
			return
		}
		status, content := handle(server.engine, conn, func(message any) bool {
			if exchange.stopped {
				// The router has closed its side.
				return false
			}
			return !first || exchange.replies.put(message)
		})
		if !first {
			return
		}
		forgetServer()
		if world.loseAnswers > 0 && world.random.Float64() < world.loseAnswers {
			world.encounter("a server's reply lost after the work was done")
			exchange.replies.disconnect()
			return
		}
		exchange.replies.put(serverReply{status, content})
	})
}

// refusalOf returns the outcome and the detail of a server's reply other than success.
func refusalOf(message serverReply) (auction.Outcome, string) {
	refusal, refused := message.content.(fleet.Refusal)
	switch {
	case !refused:
		return auction.OutcomeUnknown, "status " + strconv.Itoa(message.status)
	case refusal.Type == "handle_lapsed":
		return auction.OutcomeHandleExpired, refusal.Type
	case !refusal.Started:
		return auction.OutcomeNotStarted, refusal.Type
	}
	return auction.OutcomeFailed, refusal.Type
}

// lostOutcome returns the outcome of an exchange without a reply. If the connection was refused,
// nothing was written, so the run certainly did not start.
func (e *serverExchange) lostOutcome() auction.Outcome {
	if e.refused {
		return auction.OutcomeNotStarted
	}
	return auction.OutcomeUnknown
}

// exchangeTimeout is how long a router waits for a message of a server.
const exchangeTimeout = 2 * time.Minute

// Prefill makes a server prefill a prompt and returns the handle of the prompt's memory.
func (m *serverClient) Prefill(decision auction.Decision, maySend func() bool) (auction.Outcome, string, string) {
	request := decision.Request
	prefillRequest := modelserver.PrefillRequest{
		Request:       request.ID,
		DispatchToken: decision.Token,
		Run:           decision.Run,
		PromptTokens:  request.PromptTokens,
		Prefix:        request.Prefix,
		PrefixTokens:  request.PrefixTokens,
	}
	exchange := m.dispatch(decision, maySend, func(engine *fleet.Engine, connection *fleet.Connection, _ func(any) bool) (int, any) {
		return engine.Prefill(connection, prefillRequest)
	})
	if exchange == nil {
		return auction.OutcomeNotStarted, "", "nothing was sent"
	}
	message, found := exchange.replies.receive(exchangeTimeout, func() bool { return exchange.stopped })
	if !found {
		return exchange.lostOutcome(), "", "the connection broke"
	}
	if answer, succeeded := message.(serverReply).content.(modelserver.PrefillResponse); succeeded {
		return auction.OutcomeDone, answer.Handle, ""
	}
	outcome, detail := refusalOf(message.(serverReply))
	return outcome, "", detail
}

// Decode makes a server generate the response and passes each chunk to take.
func (m *serverClient) Decode(
	decision auction.Decision,
	maySend func() bool,
	take func(chunk int, text string),
) (auction.Outcome, int, string) {
	request := decision.Request
	decodeRequest := modelserver.DecodeRequest{
		Request:       request.ID,
		DispatchToken: decision.Token,
		Run:           decision.Run,
		Handle:        decision.Handle,
		Source:        decision.SourceAddress,
		Chunks:        request.Chunks,
	}
	exchange := m.dispatch(decision, maySend,
		func(engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) (int, any) {
			return engine.Decode(connection, decodeRequest, func(line modelserver.DecodeChunk) error {
				if !send(line) {
					return failure.New(failure.Unreachable, "the router is gone")
				}
				return nil
			})
		})
	if exchange == nil {
		return auction.OutcomeNotStarted, 0, "nothing was sent"
	}
	for {
		message, found := exchange.replies.receive(exchangeTimeout, func() bool { return exchange.stopped })
		if !found {
			return exchange.lostOutcome(), 0, "the stream broke off"
		}
		switch received := message.(type) {
		case modelserver.DecodeChunk:
			if received.Done {
				return auction.OutcomeDone, received.Chunks, ""
			}
			take(received.Chunk, received.Text)
		case serverReply:
			if received.status == http.StatusOK {
				return auction.OutcomeUnknown, 0, "the stream broke off"
			}
			outcome, detail := refusalOf(received)
			return outcome, 0, detail
		}
	}
}

// Command orders a server to change its role.
func (m *serverClient) Command(decision auction.Decision, maySend func() bool) error {
	m.dial()
	if !maySend() {
		return failure.New(failure.DeadlinePassed, "the permission to send the command has ended")
	}
	roleRequest := modelserver.RoleRequest{
		Role:         string(decision.ServerRole),
		FencingToken: decision.Role.FencingToken,
		Holder:       decision.Role.Holder,
	}
	if decision.Order != nil {
		roleRequest.Cause = decision.Order.Cause
	}
	_, err := m.incarnation.askServer(decision.Address, time.Second,
		func(engine *fleet.Engine) (int, any) { return engine.TakeRole(roleRequest) })
	return err
}

// Cancel closes a run's connection and asks the server to stop the run.
func (m *serverClient) Cancel(decision auction.Decision) {
	m.EndRun(decision.ID, decision.Run)
	cancelRequest := modelserver.CancelRequest{Request: decision.ID, DispatchToken: decision.Token, Run: decision.Run}
	m.incarnation.Go(func() {
		_, _ = m.incarnation.askServer(decision.Address, time.Second, func(engine *fleet.Engine) (int, any) {
			engine.Cancel(cancelRequest)
			return http.StatusOK, nil
		})
	})
}

// EndRun ends the exchange of a run, if it is still in progress.
func (m *serverClient) EndRun(id string, run int) {
	if exchange, found := m.running[runKey(id, run)]; found {
		delete(m.running, runKey(id, run))
		exchange.stop()
	}
}

// askServer makes one short call to a server.
func (i *incarnation) askServer(
	address string,
	timeout time.Duration,
	serve func(engine *fleet.Engine) (int, any),
) (any, error) {
	world := i.world
	to := world.nameAt(address)
	return i.call(to, timeout, func(process *incarnation) (any, error) {
		s := world.servers[to]
		if s == nil || s.incarnation != process || process.address != address {
			return nil, failure.New(failure.Unreachable, "another server is at this address")
		}
		if s.engine.Unresponsive() {
			fleet.NewConnection(process).Wait(time.Minute)
			return nil, failure.New(failure.Unreachable, "the server does not answer")
		}
		status, content := serve(s.engine)
		if status != http.StatusOK {
			return content, failure.New(failure.NotLeaseHolder, "status "+strconv.Itoa(status))
		}
		return content, nil
	})
}

// modelServer is one simulated model server.
type modelServer struct {
	plan        fleet.ServerPlan
	incarnation *incarnation
	engine      *fleet.Engine
	// calls serves opaque calls.
	calls *callServer
}

// fetchFrom returns the function with which a server fetches a prompt's memory from another one.
func (w *World) fetchFrom(process *incarnation) fleet.Fetch {
	return func(_ *fleet.Connection, address string, request fleet.MemoryRequest) (fleet.MemoryResponse, int) {
		status := http.StatusBadGateway
		content, err := process.askServer(address, 2*time.Second, func(engine *fleet.Engine) (int, any) {
			engineStatus, content := engine.TransferMemory(request)
			status = engineStatus
			return http.StatusOK, content
		})
		if err != nil {
			return fleet.MemoryResponse{}, http.StatusBadGateway
		}
		response, _ := content.(fleet.MemoryResponse)
		return response, status
	}
}
