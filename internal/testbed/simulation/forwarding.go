package simulation

import (
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/dataplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/wire"
)

// ignoreEnded is the OnEnded callback of every router; it does nothing.
func ignoreEnded(*auction.Request, auction.Decision) {}

// forwarder carries requests from one router to another.
type forwarder struct{ incarnation *incarnation }

// Forward sends a request to the router at an address and passes the records of the reply to onRecord. It
// registers callbacks for the client's disconnect through onClientGone. It returns false only if the
// router's machine is on but no router runs there, so that the machine refuses the connection.
func (f *forwarder) Forward(
	address string,
	forwarding wire.Forwarding,
	body []byte,
	onClientGone func(callback func()),
	onRecord func(record codec.Record) bool,
) bool {
	sender, world := f.incarnation, f.incarnation.world
	to := world.nameAt(address)
	replies := newPipe(world, to, sender.name, sender)
	stopped, refused := false, false
	// arrive runs when the request arrives. first is false for a duplicate, which gets no reply.
	arrive := func(first bool) {
		receiver := world.machineNamed(to)
		if receiver == nil || receiver.incarnation == nil || receiver.incarnation.ended || receiver.router == nil {
			if first && world.isPowered(to) {
				refused = true
				replies.disconnect()
			}
			return
		}
		forget := func() {}
		if first {
			forget = receiver.incarnation.onEnd(replies.disconnect)
		}
		router, process := receiver.router, receiver.incarnation
		reply := &dataplane.RecordReply{Writer: to, RegisterClientGone: func(callback func()) {
			if first {
				onClientGone(func() { world.carry(sender.name, to, process, callback) })
				sender.onEnd(func() { world.carry(sender.name, to, process, callback) })
			}
		}, Send: func(record codec.Record) error {
			world.tapRecord(record, "on a wire")
			if first && (stopped || !replies.put(record)) {
				return failure.New(failure.Unreachable, "the router is gone")
			}
			return nil
		}}
		// The request waits at a frozen process until it runs again.
		world.schedule(0, process, func() {
			process.Go(func() {
				defer forget()
				request, err := dataplane.ReadRequest(process.Now(), body)
				if err != nil {
					return
				}
				reply.Request = request.ID
				router.Serve(dataplane.Arrival{Request: request, Body: body, Forwarding: &forwarding}, reply)
			})
		})
	}
	if world.carry(sender.name, to, nil, func() { arrive(true) }) {
		if l := world.link(sender.name, to); l.duplicate > 0 && world.random.IntN(2) == 0 {
			world.encounter("a forwarded request delivered twice")
			world.schedule(time.Duration(world.random.IntN(4000))*time.Millisecond, nil, func() { arrive(false) })
		}
	}
	onClientGone(func() {
		stopped = true
		replies.cond.Broadcast()
	})
	for {
		message, found := replies.receive(time.Minute, func() bool { return stopped })
		if !found {
			return !refused
		}
		if !onRecord(message.(codec.Record)) {
			stopped = true
			return true
		}
	}
}

// machineNamed returns the machine with a name, or nil.
func (w *World) machineNamed(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}
