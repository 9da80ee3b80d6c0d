package simulation

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// runClients sends requests at the world's rates until the given time. The platform routes
// each request to a running router of its zone, or to one of another zone if there is none.
func (w *World) runClients(until time.Duration) {
	for w.now < until {
		total := w.long + w.short
		w.outside.NewCond().Wait(min(time.Second, time.Duration(w.random.ExpFloat64()/total*float64(time.Second))), never)
		kind := w.deployment.Short
		if w.random.Float64()*total < w.long {
			kind = w.deployment.Long
		}
		w.requestCount++
		zone := w.deployment.Zones[w.random.IntN(len(w.deployment.Zones))]
		request := fleet.ClientRequest{
			ID:           w.requestID(),
			Service:      kind.Service,
			Client:       "origin-" + strconv.Itoa(w.requestCount%50),
			Idempotent:   w.random.Float64() >= 0.4,
			Limit:        15_000,
			PromptTokens: kind.LeastTokens + w.random.IntN(kind.MostTokens-kind.LeastTokens),
			Prefix:       kind.Service + "-" + strconv.Itoa(w.random.IntN(kind.Prefixes)),
			PrefixTokens: kind.PrefixTokens,
			Chunks:       kind.LeastChunks + w.random.IntN(kind.MostChunks-kind.LeastChunks),
		}
		w.outside.Go(func() { w.runClient(request, zone) })
	}
}

// runClient sends one request and may send it again: after a refusal, with or without
// waiting for the retry time in the reply, after a broken connection, or after a final reply.
func (w *World) runClient(request fleet.ClientRequest, zone string) {
	for arrival := range 3 {
		m := w.routerFor(zone)
		if m == nil {
			return
		}
		reply, retry := w.send(m, zone, request, arrival)
		behaviour, backoff := w.random.IntN(4), time.Duration(w.random.IntN(300))*time.Millisecond
		switch {
		case reply.Final == "refused" && reply.Cause != string(failure.Duplicate) && behaviour < 2:
			if behaviour == 0 {
				backoff = retry
			}
			w.encounter("an ID sent again after a refusal")
		case reply.Final == "" && behaviour < 3:
			w.encounter("an ID sent again after a broken connection")
		case (reply.Final == "unknown" || reply.Final == "failed") && behaviour == 0:
			w.encounter("an ID sent again after its final reply")
		case reply.Final == "complete" && behaviour == 0 && w.random.IntN(20) == 0:
			w.encounter("an ID sent again after its final reply")
		default:
			return
		}
		w.outside.NewCond().Wait(backoff, never)
	}
}

// routerFor returns a running router of the zone, or of any zone if the zone has none, or nil.
func (w *World) routerFor(zone string) *machine {
	var inZone, running []*machine
	for _, m := range w.machines {
		if m.kind == membership.Router && m.incarnation != nil && !m.incarnation.ended && !m.gone {
			running = append(running, m)
			if m.zone == zone {
				inZone = append(inZone, m)
			}
		}
	}
	if len(inZone) > 0 {
		running = inZone
	}
	if len(running) == 0 {
		return nil
	}
	return running[w.random.IntN(len(running))]
}

// client is the client of one request, as the router sees it.
type client struct {
	world  *World
	router *incarnation
	pipe   *pipe
	left   bool
	onLeft []func()
}

// Begin does nothing: the reply's lines hold everything that the client reads.
func (c *client) Begin(int, int) {}

// Line sends one line of the reply to the client.
func (c *client) Line(line []byte) error {
	if c.left || !c.pipe.put(string(line)) {
		return failure.New(failure.Unreachable, "the client has disconnected")
	}
	return nil
}

// OnClientGone registers a callback of the router that is called when the client disconnects.
func (c *client) OnClientGone(callback func()) { c.onLeft = append(c.onLeft, callback) }

// leave disconnects the client and schedules the callbacks that the router registered with OnClientGone.
func (c *client) leave() {
	c.left = true
	for _, callback := range c.onLeft {
		c.world.schedule(0, c.router, callback)
	}
}

// send sends one request to a router and records the reply in the event log.
func (w *World) send(m *machine, zone string, request fleet.ClientRequest, arrival int) (fleet.Entry, time.Duration) {
	began := w.now
	entry := fleet.Entry{
		Request:    request.ID,
		Router:     m.name,
		Service:    request.Service,
		Idempotent: request.Idempotent,
		Asked:      request.Chunks,
		Arrival:    arrival,
		Zone:       zone,
	}
	sent := entry
	sent.Kind = fleet.Sent
	w.Events.Append(sent)
	leavesAt := -1
	if w.random.IntN(40) == 0 {
		leavesAt = w.random.IntN(request.Chunks + 1)
	}
	retry := w.exchange(m, request, leavesAt, &entry)
	entry.Kind, entry.Took = fleet.Replied, w.now-began
	w.Events.Append(entry)
	return entry, retry
}

// exchange carries one request to a router and reads the reply into entry. It returns how
// long the reply asks the client to wait before a retry.
func (w *World) exchange(m *machine, request fleet.ClientRequest, leavesAt int, entry *fleet.Entry) time.Duration {
	body, _ := json.Marshal(request)
	process, router := m.incarnation, m.router
	replies := newPipe(w, m.name, "outside", w.outside)
	c := &client{world: w, router: process, pipe: replies}
	w.carry("outside", m.name, nil, func() {
		if process.ended {
			replies.disconnect()
			return
		}
		forget := process.onEnd(replies.disconnect)
		w.schedule(0, process, func() {
			process.Go(func() {
				defer forget()
				received, err := dataplane.ReadRequest(process.Now(), body)
				if err != nil {
					return
				}
				if !received.Idempotent {
					w.claiming[m.name]++
					defer func() { w.claiming[m.name]-- }()
				}
				router.Serve(dataplane.Arrival{Request: received, Body: body}, c)
			})
		})
	})
	timeout := time.Duration(request.Limit)*time.Millisecond + 5*time.Second
	for {
		if leavesAt == len(entry.Texts) {
			w.encounter("a client disconnected")
			c.leave()
			entry.Cause = fleet.ClientLeft
			return 0
		}
		message, found := replies.receive(timeout, never)
		if !found {
			entry.Cause = "the connection broke"
			if !replies.broken {
				entry.Cause = "no reply in time"
				c.leave()
			}
			return 0
		}
		var line dataplane.ReplyLine
		if json.Unmarshal([]byte(message.(string)), &line) != nil {
			entry.Cause = "garbage"
			return 0
		}
		if line.Final != "" {
			entry.Final, entry.Chunks, entry.Cause = string(line.Final), line.Chunks, string(line.Type)
			return time.Duration(line.RetryAfterSeconds) * time.Second
		}
		entry.Texts = append(entry.Texts, strconv.Itoa(line.Chunk)+"|"+line.Text)
	}
}

// readRevision asks a router, as a client, which revision is in force there. The name of the
// route that refuses the service "edition" contains the revision.
func (w *World) readRevision(m *machine) {
	began := w.now
	entry := fleet.Entry{}
	request := fleet.ClientRequest{
		ID:           "look-" + w.nonce(),
		Service:      "edition",
		Idempotent:   true,
		Limit:        1000,
		PromptTokens: 1,
		Chunks:       1,
	}
	body, _ := json.Marshal(request)
	process, router := m.incarnation, m.router
	// A restricted router forwards requests, so its reply shows the revision of another router.
	if process == nil || process.ended || process.frozen || router == nil || router.Core().Restricted() {
		return
	}
	detail := ""
	process.Go(func() {
		received, err := dataplane.ReadRequest(process.Now(), body)
		if err != nil {
			return
		}
		// The read begins when the router starts to process the request.
		began = w.now
		router.Serve(dataplane.Arrival{Request: received, Body: body}, &revisionReader{take: func(line dataplane.ReplyLine) {
			if line.Type == failure.RouteRefuses {
				detail = line.Detail
			}
			if number, found := strings.CutPrefix(detail, "edition-"); found {
				revision, _ := strconv.Atoi(number)
				entry = fleet.Entry{Kind: fleet.RevisionSeen, Router: m.name, Revision: revision, Took: w.now - began}
				w.Events.Append(entry)
			}
		}})
	})
}

// revisionReader passes each line of a reply to take.
type revisionReader struct {
	take func(line dataplane.ReplyLine)
}

// Begin does nothing.
func (*revisionReader) Begin(int, int) {}

// Line decodes one line of the reply.
func (l *revisionReader) Line(content []byte) error {
	var line dataplane.ReplyLine
	if err := json.Unmarshal(content, &line); err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	l.take(line)
	return nil
}

// OnClientGone does nothing: this client never disconnects.
func (*revisionReader) OnClientGone(func()) {}
