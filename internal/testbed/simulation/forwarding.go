package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/wire"
)

func endedHere(*auction.Request, auction.Decision) {}

// forwarder carries requests from one router to another.
type forwarder struct{ incarnation *incarnation }

// Forward sends a request on and gives the records of its reply to take.
func (p *forwarder) Forward(
	address string,
	forwarding wire.Forwarding,
	body []byte,
	whenLeft func(act func()),
	take func(record codec.Record) bool,
) bool {
	here, world := p.incarnation, p.incarnation.world
	to := world.nameAt(address)
	replies := newPipe(world, to, here.name, here)
	left, refused := false, false
	arrive := func(first bool) {
		there := world.machineNamed(to)
		if there == nil || there.incarnation == nil || there.incarnation.ended || there.router == nil {
			if first && world.powered(to) {
				refused = true
				replies.disconnect()
			}
			return
		}
		forget := func() {}
		if first {
			forget = there.incarnation.onEnd(replies.disconnect)
		}
		conduct, target := there.router, there.incarnation
		reply := &dataplane.RecordReply{Writer: to, ClientGone: func(act func()) {
			if first {
				whenLeft(func() { world.carry(here.name, to, target, act) })
				here.onEnd(func() { world.carry(here.name, to, target, act) })
			}
		}, Send: func(record codec.Record) error {
			world.tapRecord(record, "on a wire")
			if first && (left || !replies.put(record)) {
				return failure.New(failure.Unreachable, "the courier is gone")
			}
			return nil
		}}
		// The question lies there until the process runs.
		world.after(0, target, func() {
			target.Go(func() {
				defer forget()
				request, err := dataplane.ReadRequest(target.Now(), body)
				if err != nil {
					return
				}
				reply.Request = request.ID
				conduct.Serve(dataplane.Arrival{Request: request, Body: body, Forwarding: &forwarding}, reply)
			})
		})
	}
	if world.carry(here.name, to, nil, func() { arrive(true) }) {
		if over := world.link(here.name, to); over.duplicate > 0 && world.random.IntN(2) == 0 {
			world.encounter("a passed-on inquiry brought twice")
			world.after(time.Duration(world.random.IntN(4000))*time.Millisecond, nil, func() { arrive(false) })
		}
	}
	whenLeft(func() {
		left = true
		replies.cond.Broadcast()
	})
	for {
		message, found := replies.take(time.Minute, func() bool { return left })
		if !found {
			return !refused
		}
		if !take(message.(codec.Record)) {
			left = true
			return true
		}
	}
}

func (w *World) machineNamed(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}
