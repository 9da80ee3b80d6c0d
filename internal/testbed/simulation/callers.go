package simulation

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/testbed/fleet"
)

// callers send inquiries at the world's rates until it says stop. The platform
// hands them to a courier of their district that runs, or to any other.
func (world *World) callers(until time.Duration) {
	for world.now < until {
		total := world.long + world.short
		world.outside.NewCond().Wait(min(time.Second, time.Duration(world.random.ExpFloat64()/total*float64(time.Second))), never)
		kind := world.deployment.Short
		if world.random.Float64()*total < world.long {
			kind = world.deployment.Long
		}
		world.number++
		zone := world.deployment.Zones[world.random.IntN(len(world.deployment.Zones))]
		question := fleet.Question{ID: world.requestID(), Service: kind.Service, Client: "origin-" + strconv.Itoa(world.number%50), Repeatable: world.random.Float64() >= 0.4,
			Limit: 15_000, PromptTokens: kind.LeastTokens + world.random.IntN(kind.MostTokens-kind.LeastTokens),
			Prefix: kind.Service + "-" + strconv.Itoa(world.random.IntN(kind.Prefixes)), PrefixTokens: kind.PrefixTokens,
			Chunks: kind.LeastChunks + world.random.IntN(kind.MostChunks-kind.LeastChunks)}
		world.outside.Go(func() { world.caller(question, zone) })
	}
}

// caller sends one inquiry, and perhaps sends it again: it obeys the time to
// come back, or ignores it, or asks elsewhere after a broken circuit.
func (world *World) caller(question fleet.Question, zone string) {
	for arrival := range 3 {
		machine := world.routerFor(zone)
		if machine == nil {
			return
		}
		reply, retry := world.send(machine, zone, question, arrival)
		again, pause := world.random.IntN(4), time.Duration(world.random.IntN(300))*time.Millisecond
		switch {
		case reply.Final == "refused" && reply.Cause != string(failure.Duplicate) && again < 2:
			if again == 0 {
				pause = retry
			}
			world.tempt("an id sent again after a refusal")
		case reply.Final == "" && again < 3:
			world.tempt("an id sent again after a broken circuit")
		case (reply.Final == "unknown" || reply.Final == "failed") && again == 0:
			world.tempt("an id sent again after its final word")
		case reply.Final == "complete" && again == 0 && world.random.IntN(20) == 0:
			world.tempt("an id sent again after its final word")
		default:
			return
		}
		world.outside.NewCond().Wait(pause, never)
	}
}

// routerFor is a courier of the district that runs, or any that does.
func (world *World) routerFor(zone string) *machine {
	var near, any []*machine
	for _, machine := range world.machines {
		if machine.kind == membership.Router && machine.incarnation != nil && !machine.incarnation.ended && !machine.gone {
			any = append(any, machine)
			if machine.zone == zone {
				near = append(near, machine)
			}
		}
	}
	if len(near) > 0 {
		any = near
	}
	if len(any) == 0 {
		return nil
	}
	return any[world.random.IntN(len(any))]
}

// origin is a caller at the other end of a circuit.
type client struct {
	world  *World
	there  *incarnation
	pipe   *pipe
	left   bool
	onLeft []func()
}

// Begin needs nothing: the lines say it all.
func (origin *client) Begin(int, int) {}

// Line sends one line.
func (origin *client) Line(line []byte) error {
	if origin.left || !origin.pipe.put(string(line)) {
		return failure.New(failure.Unreachable, "the origin is gone")
	}
	return nil
}

// WhenLeft notes what the courier does then.
func (origin *client) WhenLeft(act func()) { origin.onLeft = append(origin.onLeft, act) }

func (origin *client) leave() {
	origin.left = true
	for _, act := range origin.onLeft {
		origin.world.after(0, origin.there, act)
	}
}

// send sends one inquiry to a courier and writes its reply down.
func (world *World) send(machine *machine, zone string, question fleet.Question, arrival int) (fleet.Entry, time.Duration) {
	began := world.now
	entry := fleet.Entry{Request: question.ID, Router: machine.name, Service: question.Service, Repeatable: question.Repeatable, Asked: question.Chunks,
		Arrival: arrival, Zone: zone}
	sent := entry
	sent.Kind = fleet.Sent
	world.Book.Note(sent)
	leavesAt := -1
	if world.random.IntN(40) == 0 {
		leavesAt = world.random.IntN(question.Chunks + 1)
	}
	retry := world.exchange(machine, question, leavesAt, &entry)
	entry.Kind, entry.Took = fleet.Replied, world.now-began
	world.Book.Note(entry)
	return entry, retry
}

// exchange carries one inquiry to a courier and reads what comes back; it tells
// when the caller may come again.
func (world *World) exchange(machine *machine, question fleet.Question, leavesAt int, entry *fleet.Entry) time.Duration {
	body, _ := json.Marshal(question)
	there, conduct := machine.incarnation, machine.router
	replies := newPipe(world, machine.name, "outside", world.outside)
	caller := &client{world: world, there: there, pipe: replies}
	world.carry("outside", machine.name, nil, func() {
		if there.ended {
			replies.snap()
			return
		}
		forget := there.atEnd(replies.snap)
		world.after(0, there, func() {
			there.Go(func() {
				defer forget()
				request, err := hatch.ReadRequest(there.Now(), body)
				if err != nil {
					return
				}
				if !request.Repeatable {
					world.claiming[machine.name]++
					defer func() { world.claiming[machine.name]-- }()
				}
				conduct.Serve(hatch.Arrival{Request: request, Body: body}, caller)
			})
		})
	})
	patience := time.Duration(question.Limit)*time.Millisecond + 5*time.Second
	for {
		if leavesAt == len(entry.Texts) {
			world.tempt("a caller left")
			caller.leave()
			entry.Cause = fleet.CallerLeft
			return 0
		}
		message, found := replies.take(patience, never)
		if !found {
			entry.Cause = "the circuit broke"
			if !replies.broken {
				entry.Cause = "no reply in time"
				caller.leave()
			}
			return 0
		}
		var line hatch.ReplyLine
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

// lookAtRevision asks a courier, as a caller, which edition is in force there:
// the route that refuses the service "edition" is named by it.
func (world *World) lookAtRevision(machine *machine) {
	began := world.now
	entry := fleet.Entry{}
	question := fleet.Question{ID: "look-" + world.nonce(), Service: "edition", Repeatable: true, Limit: 1000, PromptTokens: 1, Chunks: 1}
	body, _ := json.Marshal(question)
	there, conduct := machine.incarnation, machine.router
	// A restricted courier passes on: what one sees there is another's.
	if there == nil || there.ended || there.frozen || conduct == nil || conduct.Core().Restricted() {
		return
	}
	detail := ""
	there.Go(func() {
		request, err := hatch.ReadRequest(there.Now(), body)
		if err != nil {
			return
		}
		// The moment of asking is that at which the courier takes it up.
		began = world.now
		conduct.Serve(hatch.Arrival{Request: request, Body: body}, &looker{take: func(line hatch.ReplyLine) {
			if line.Type == failure.RouteRefuses {
				detail = line.Detail
			}
			if number, found := strings.CutPrefix(detail, "edition-"); found {
				revision, _ := strconv.Atoi(number)
				entry = fleet.Entry{Kind: fleet.RevisionSeen, Router: machine.name, Revision: revision, Took: world.now - began}
				world.Book.Note(entry)
			}
		}})
	})
}

// looker reads a reply of one line.
type looker struct{ take func(line hatch.ReplyLine) }

// Begin needs nothing.
func (*looker) Begin(int, int) {}

// Line reads the line.
func (looker *looker) Line(content []byte) error {
	var line hatch.ReplyLine
	if err := json.Unmarshal(content, &line); err != nil {
		return failure.Wrap(failure.Garbage, err)
	}
	looker.take(line)
	return nil
}

// WhenLeft needs nothing: it stays.
func (*looker) WhenLeft(func()) {}
