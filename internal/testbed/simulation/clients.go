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

// runClients sends requests at the world's rates until the moment. The platform
// hands them to a router of their zone that runs, or to any other.
func (w *World) runClients(until time.Duration) {
	for w.now < until {
		total := w.long + w.short
		w.outside.NewCond().Wait(min(time.Second, time.Duration(w.random.ExpFloat64()/total*float64(time.Second))), never)
		kind := w.deployment.Short
		if w.random.Float64()*total < w.long {
			kind = w.deployment.Long
		}
		w.number++
		zone := w.deployment.Zones[w.random.IntN(len(w.deployment.Zones))]
		question := fleet.Question{
			ID:           w.requestID(),
			Service:      kind.Service,
			Client:       "origin-" + strconv.Itoa(w.number%50),
			Idempotent:   w.random.Float64() >= 0.4,
			Limit:        15_000,
			PromptTokens: kind.LeastTokens + w.random.IntN(kind.MostTokens-kind.LeastTokens),
			Prefix:       kind.Service + "-" + strconv.Itoa(w.random.IntN(kind.Prefixes)),
			PrefixTokens: kind.PrefixTokens,
			Chunks:       kind.LeastChunks + w.random.IntN(kind.MostChunks-kind.LeastChunks),
		}
		w.outside.Go(func() { w.runClient(question, zone) })
	}
}

// runClient sends one request, and perhaps sends it again: it obeys the time to
// come back, or ignores it, or asks elsewhere after a broken connection.
func (w *World) runClient(question fleet.Question, zone string) {
	for arrival := range 3 {
		m := w.routerFor(zone)
		if m == nil {
			return
		}
		reply, retry := w.send(m, zone, question, arrival)
		behaviour, backoff := w.random.IntN(4), time.Duration(w.random.IntN(300))*time.Millisecond
		switch {
		case reply.Final == "refused" && reply.Cause != string(failure.Duplicate) && behaviour < 2:
			if behaviour == 0 {
				backoff = retry
			}
			w.encounter("an id sent again after a refusal")
		case reply.Final == "" && behaviour < 3:
			w.encounter("an id sent again after a broken circuit")
		case (reply.Final == "unknown" || reply.Final == "failed") && behaviour == 0:
			w.encounter("an id sent again after its final word")
		case reply.Final == "complete" && behaviour == 0 && w.random.IntN(20) == 0:
			w.encounter("an id sent again after its final word")
		default:
			return
		}
		w.outside.NewCond().Wait(backoff, never)
	}
}

// routerFor is a router of the zone that runs, or any that does.
func (w *World) routerFor(zone string) *machine {
	var near, any []*machine
	for _, m := range w.machines {
		if m.kind == membership.Router && m.incarnation != nil && !m.incarnation.ended && !m.gone {
			any = append(any, m)
			if m.zone == zone {
				near = append(near, m)
			}
		}
	}
	if len(near) > 0 {
		any = near
	}
	if len(any) == 0 {
		return nil
	}
	return any[w.random.IntN(len(any))]
}

// client is a client at the other end of a connection.
type client struct {
	world  *World
	there  *incarnation
	pipe   *pipe
	left   bool
	onLeft []func()
}

// Begin needs nothing: the lines say it all.
func (c *client) Begin(int, int) {}

// Line sends one line.
func (c *client) Line(line []byte) error {
	if c.left || !c.pipe.put(string(line)) {
		return failure.New(failure.Unreachable, "the origin is gone")
	}
	return nil
}

// OnClientGone notes what the router does then.
func (c *client) OnClientGone(act func()) { c.onLeft = append(c.onLeft, act) }

func (c *client) leave() {
	c.left = true
	for _, act := range c.onLeft {
		c.world.after(0, c.there, act)
	}
}

// send sends one request to a router and writes its reply down.
func (w *World) send(m *machine, zone string, question fleet.Question, arrival int) (fleet.Entry, time.Duration) {
	began := w.now
	entry := fleet.Entry{
		Request:    question.ID,
		Router:     m.name,
		Service:    question.Service,
		Idempotent: question.Idempotent,
		Asked:      question.Chunks,
		Arrival:    arrival,
		Zone:       zone,
	}
	sent := entry
	sent.Kind = fleet.Sent
	w.Events.Append(sent)
	leavesAt := -1
	if w.random.IntN(40) == 0 {
		leavesAt = w.random.IntN(question.Chunks + 1)
	}
	retry := w.exchange(m, question, leavesAt, &entry)
	entry.Kind, entry.Took = fleet.Replied, w.now-began
	w.Events.Append(entry)
	return entry, retry
}

// exchange carries one request to a router and reads what comes back; it tells
// when the client may come again.
func (w *World) exchange(m *machine, question fleet.Question, leavesAt int, entry *fleet.Entry) time.Duration {
	body, _ := json.Marshal(question)
	there, conduct := m.incarnation, m.router
	replies := newPipe(w, m.name, "outside", w.outside)
	c := &client{world: w, there: there, pipe: replies}
	w.carry("outside", m.name, nil, func() {
		if there.ended {
			replies.disconnect()
			return
		}
		forget := there.onEnd(replies.disconnect)
		w.after(0, there, func() {
			there.Go(func() {
				defer forget()
				request, err := dataplane.ReadRequest(there.Now(), body)
				if err != nil {
					return
				}
				if !request.Idempotent {
					w.claiming[m.name]++
					defer func() { w.claiming[m.name]-- }()
				}
				conduct.Serve(dataplane.Arrival{Request: request, Body: body}, c)
			})
		})
	})
	patience := time.Duration(question.Limit)*time.Millisecond + 5*time.Second
	for {
		if leavesAt == len(entry.Texts) {
			w.encounter("a caller left")
			c.leave()
			entry.Cause = fleet.CallerLeft
			return 0
		}
		message, found := replies.take(patience, never)
		if !found {
			entry.Cause = "the circuit broke"
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

// readRevision asks a router, as a client, which revision is in force there:
// the route that refuses the service "revision" is named by it.
func (w *World) readRevision(m *machine) {
	began := w.now
	entry := fleet.Entry{}
	question := fleet.Question{
		ID:           "look-" + w.nonce(),
		Service:      "edition",
		Idempotent:   true,
		Limit:        1000,
		PromptTokens: 1,
		Chunks:       1,
	}
	body, _ := json.Marshal(question)
	there, conduct := m.incarnation, m.router
	// A restricted router passes on: what one sees there is another's.
	if there == nil || there.ended || there.frozen || conduct == nil || conduct.Core().Restricted() {
		return
	}
	detail := ""
	there.Go(func() {
		request, err := dataplane.ReadRequest(there.Now(), body)
		if err != nil {
			return
		}
		// The moment of asking is that at which the router takes it up.
		began = w.now
		conduct.Serve(dataplane.Arrival{Request: request, Body: body}, &revisionReader{take: func(line dataplane.ReplyLine) {
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

// revisionReader reads a reply of one line.
type revisionReader struct {
	take func(line dataplane.ReplyLine)
}

// Begin needs nothing.
func (*revisionReader) Begin(int, int) {}

// Line reads the line.
func (l *revisionReader) Line(content []byte) error {
	var line dataplane.ReplyLine
	if err := json.Unmarshal(content, &line); err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	l.take(line)
	return nil
}

// OnClientGone needs nothing: it stays.
func (*revisionReader) OnClientGone(func()) {}
