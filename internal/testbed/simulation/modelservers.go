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

// serverClient is the connections of one router to the model servers.
type serverClient struct {
	incarnation *incarnation
	running     map[string]*serverExchange
}

// serverExchange is one order under way at a server.
type serverExchange struct {
	replies *pipe
	quit    bool
	refused bool
	hangUp  func()
}

// stop closes the router's side.
func (e *serverExchange) stop() {
	e.quit = true
	e.replies.cond.Broadcast()
	if e.hangUp != nil {
		e.hangUp()
	}
}

// ended is the last message of an exchange: a status and what came with it.
type ended struct {
	status  int
	content any
}

func runKey(id string, run int) string { return id + "#" + strconv.Itoa(run) }

// dial waits for a connection, which may take its time.
func (m *serverClient) dial() {
	world := m.incarnation.world
	length := time.Duration(world.random.IntN(400)) * time.Microsecond
	if world.slowDials > 0 && world.random.Float64() < world.slowDials {
		length = time.Duration(world.random.IntN(2500)) * time.Millisecond
	}
	m.incarnation.NewCond().Wait(length, func() bool { return false })
}

// serve is what a server does for an order: it may send messages before it returns a
// status and what comes with it. send is false when nobody takes more.
type serve func(engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) (status int, content any)

// order sends one order to a server and returns its exchange, or nil when it
// certainly did not go.
func (m *serverClient) order(decision auction.Decision, may func() bool, act serve) *serverExchange {
	world := m.incarnation.world
	m.dial()
	if !may() {
		world.encounter("an order held back after a wait")
		return nil
	}
	to := world.nameAt(decision.Address)
	begun := &serverExchange{replies: newPipe(world, to, m.incarnation.name, m.incarnation)}
	if earlier, found := m.running[runKey(decision.ID, decision.Run)]; found {
		earlier.stop()
	}
	m.running[runKey(decision.ID, decision.Run)] = begun
	arrive := func(first bool) {
		there := world.servers[to]
		if there == nil || there.incarnation.ended || there.incarnation.address != decision.Address {
			if first {
				begun.refused = true
				begun.replies.disconnect()
			}
			return
		}
		m.arrive(there, begun, first, act)
	}
	if !world.carry(m.incarnation.name, to, nil, func() { arrive(true) }) {
		// It lies in the network until the router gives up.
		return begun
	}
	if over := world.link(m.incarnation.name, to); over.duplicate > 0 && world.random.Float64() < over.duplicate {
		world.encounter("an order brought twice to a server")
		world.after(time.Duration(world.random.IntN(800))*time.Millisecond, nil, func() { arrive(false) })
	}
	return begun
}

// arrive has a server act on an order. What it sends and returns is for the first
// arrival alone: a duplicate's work is done and nobody hears of it.
func (m *serverClient) arrive(there *modelServer, begun *serverExchange, first bool, act serve) {
	world := m.incarnation.world
	conn := fleet.NewConnection(there.incarnation)
	forgetServer := func() {}
	if first {
		forgetServer = there.incarnation.onEnd(begun.replies.disconnect)
	}
	hangUp := func() { world.carry(m.incarnation.name, there.plan.Name, there.incarnation, conn.Close) }
	if first {
		begun.hangUp = hangUp
	}
	forgetRouter := m.incarnation.onEnd(hangUp)
	there.incarnation.Go(func() {
		defer forgetRouter()
		if there.engine.Dark() {
			conn.Wait(time.Minute)
			return
		}
		status, content := act(there.engine, conn, func(message any) bool {
			if begun.quit {
				// The router has closed its side.
				return false
			}
			return !first || begun.replies.put(message)
		})
		if !first {
			return
		}
		forgetServer()
		if world.loseAnswers > 0 && world.random.Float64() < world.loseAnswers {
			world.encounter("a server's answer lost after the work")
			begun.replies.disconnect()
			return
		}
		begun.replies.put(ended{status, content})
	})
}

// refusalOf is what a server's answer other than success means.
func refusalOf(message ended) (auction.Outcome, string) {
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

// lostOutcome is what a connection without an answer means: where nobody listened
// nothing was written.
func (e *serverExchange) lostOutcome() auction.Outcome {
	if e.refused {
		return auction.OutcomeNotStarted
	}
	return auction.OutcomeUnknown
}

const exchangePatience = 2 * time.Minute

// Prefill has a server read a prompt.
func (m *serverClient) Prefill(decision auction.Decision, may func() bool) (auction.Outcome, string, string) {
	request := decision.Request
	order := modelserver.PrefillRequest{
		Request:      request.ID,
		Order:        decision.Token,
		Run:          decision.Run,
		PromptTokens: request.PromptTokens,
		Prefix:       request.Prefix,
		PrefixTokens: request.PrefixTokens,
	}
	begun := m.order(decision, may, func(engine *fleet.Engine, connection *fleet.Connection, _ func(any) bool) (int, any) {
		return engine.Prefill(connection, order)
	})
	if begun == nil {
		return auction.OutcomeNotStarted, "", "nothing was sent"
	}
	message, found := begun.replies.take(exchangePatience, func() bool { return begun.quit })
	if !found {
		return begun.lostOutcome(), "", "the circuit broke"
	}
	if answer, well := message.(ended).content.(modelserver.PrefillResponse); well {
		return auction.OutcomeDone, answer.Handle, ""
	}
	o, detail := refusalOf(message.(ended))
	return o, "", detail
}

// Decode has a server answer.
func (m *serverClient) Decode(
	decision auction.Decision,
	may func() bool,
	take func(chunk int, text string),
) (auction.Outcome, int, string) {
	request := decision.Request
	order := modelserver.DecodeRequest{
		Request: request.ID,
		Order:   decision.Token,
		Run:     decision.Run,
		Handle:  decision.Handle,
		Source:  decision.SourceAddress,
		Chunks:  request.Chunks,
	}
	begun := m.order(decision, may,
		func(engine *fleet.Engine, connection *fleet.Connection, send func(any) bool) (int, any) {
			return engine.Decode(connection, order, func(line modelserver.DecodeChunk) error {
				if !send(line) {
					return failure.New(failure.Unreachable, "the courier is gone")
				}
				return nil
			})
		})
	if begun == nil {
		return auction.OutcomeNotStarted, 0, "nothing was sent"
	}
	for {
		message, found := begun.replies.take(exchangePatience, func() bool { return begun.quit })
		if !found {
			return begun.lostOutcome(), 0, "the stream broke off"
		}
		switch refusal := message.(type) {
		case modelserver.DecodeChunk:
			if refusal.Done {
				return auction.OutcomeDone, refusal.Chunks, ""
			}
			take(refusal.Chunk, refusal.Text)
		case ended:
			if refusal.status == http.StatusOK {
				return auction.OutcomeUnknown, 0, "the stream broke off"
			}
			o, detail := refusalOf(refusal)
			return o, 0, detail
		}
	}
}

// Command has a server take a part.
func (m *serverClient) Command(decision auction.Decision, may func() bool) error {
	m.dial()
	if !may() {
		return failure.New(failure.DeadlinePassed, "the command may not go any more")
	}
	order := modelserver.PartRequest{
		Part:         string(decision.ServerRole),
		FencingToken: decision.Role.FencingToken,
		Holder:       decision.Role.Holder,
	}
	if decision.Order != nil {
		order.Cause = decision.Order.Cause
	}
	_, err := m.incarnation.askServer(decision.Address, time.Second,
		func(engine *fleet.Engine) (int, any) { return engine.TakePart(order) })
	return err
}

// Cancel breaks a run's connection and has the server stop it.
func (m *serverClient) Cancel(decision auction.Decision) {
	m.EndRun(decision.ID, decision.Run)
	order := modelserver.CancelRequest{Request: decision.ID, Order: decision.Token, Run: decision.Run}
	m.incarnation.Go(func() {
		_, _ = m.incarnation.askServer(decision.Address, time.Second, func(engine *fleet.Engine) (int, any) {
			engine.Cancel(order)
			return http.StatusOK, nil
		})
	})
}

// EndRun ends whatever a run still has under way.
func (m *serverClient) EndRun(id string, run int) {
	if begun, found := m.running[runKey(id, run)]; found {
		delete(m.running, runKey(id, run))
		begun.stop()
	}
}

// askServer has a server answer one short question.
func (i *incarnation) askServer(
	address string,
	patience time.Duration,
	serve func(engine *fleet.Engine) (int, any),
) (any, error) {
	world := i.world
	to := world.nameAt(address)
	return i.call(to, patience, func(there *incarnation) (any, error) {
		s := world.servers[to]
		if s == nil || s.incarnation != there || there.address != address {
			return nil, failure.New(failure.Unreachable, "another server is there")
		}
		if s.engine.Dark() {
			fleet.NewConnection(there).Wait(time.Minute)
			return nil, failure.New(failure.Unreachable, "dark")
		}
		status, content := serve(s.engine)
		if status != http.StatusOK {
			return content, failure.New(failure.NotHolder, "status "+strconv.Itoa(status))
		}
		return content, nil
	})
}

// modelServer is one simulated model server.
type modelServer struct {
	plan        fleet.ServerPlan
	incarnation *incarnation
	engine      *fleet.Engine
	// calls is what it does for opaque calls.
	calls *callServer
}

// fetchFrom takes a prompt's memory over from another server.
func (w *World) fetchFrom(here *incarnation) fleet.Fetch {
	return func(_ *fleet.Connection, address string, question fleet.MemoryQuestion) (fleet.MemoryAnswer, int) {
		status := http.StatusBadGateway
		content, err := here.askServer(address, 2*time.Second, func(engine *fleet.Engine) (int, any) {
			given, content := engine.GiveMemory(question)
			status = given
			return http.StatusOK, content
		})
		if err != nil {
			return fleet.MemoryAnswer{}, http.StatusBadGateway
		}
		given, _ := content.(fleet.MemoryAnswer)
		return given, status
	}
}
