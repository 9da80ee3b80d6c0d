package dataplane

import (
	"encoding/json"
	"net/http"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// Forwarder is the port by which a request goes on to another router.
type Forwarder interface {
	// Forward sends the request's body with its passage, and gives the records of
	// the reply to take, as they come, until take says no or the origin has
	// left. Begun is false only when certainly nothing of it has left.
	Forward(address string, forwarding wire.Forwarding, body []byte, whenLeft func(act func()), take func(record codec.Record) bool) (begun bool)
}

// incarnationTimeout is how long a router may take to say which life it is in.
const incarnationTimeout = 500 * time.Millisecond

// capable lists the routers that lack no enabled flag, this request's own
// order first.
func (r *Router) capableRouters(request string) []membership.Member {
	enabled := r.core.Enabled()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var names []string
	for name, member := range r.members {
		if member.Kind == membership.Router && name != r.options.Router && !member.Restricted(enabled) {
			names = append(names, name)
		}
	}
	var members []membership.Member
	for _, name := range membership.Ranked(request, names) {
		members = append(members, r.members[name])
	}
	return members
}

// forward gives a request to a capable router and its reply to the origin, as
// it comes. Another router is tried only when the first certainly has not
// begun.
func (r *Router) forward(arrival Arrival, reply Reply) {
	never := false
	refused := ReplyLine{Request: arrival.Request.ID, Final: auction.Refused, Ran: &never, Type: failure.Restricted, Detail: "this courier lacks an enabled flag and no capable one was reached", RetryAfterSeconds: 1}
	if arrival.Forwarding == nil {
		for _, member := range r.capableRouters(arrival.Request.ID) {
			forwarding := wire.Forwarding{Nonce: r.nonce()}
			if !arrival.Request.Idempotent {
				var said wire.IncarnationResponse
				err := wire.Call(r.client, member.Address, wire.IncarnationPath, wire.Empty{}, &said, incarnationTimeout)
				if failure.CodeOf(err) == failure.Unreachable && !r.isOldRelease(err) {
					continue
				}
				forwarding.Incarnation = said.Incarnation
			}
			copied := &replyRelay{reply: reply, request: arrival.Request.ID}
			if !r.forwarder.Forward(member.Address, forwarding, arrival.Body, reply.OnClientGone, copied.take) {
				continue
			}
			if !copied.ended {
				copied.breakOff()
			}
			return
		}
	}
	writeLine(reply, refused)
}

// old tells whether a failure is that of a release which knows no such path.
func (r *Router) isOldRelease(err error) bool {
	return err != nil && failure.CodeOf(err) == failure.Unreachable && failure.DetailOf(err) == "status 404"
}

// replyRelay gives the lines of stream records on as they come. A reply that
// breaks off ends with a line that says what is known.
type replyRelay struct {
	reply   Reply
	request string
	lines   int
	ended   bool
}

func (r *replyRelay) take(record codec.Record) bool {
	message, err := codec.DecodeStreamMessage(record)
	var line ReplyLine
	if err == nil {
		err = json.Unmarshal(message.Line, &line)
	}
	if err != nil || record.Number != uint64(r.lines+1) || message.Request != r.request {
		return false
	}
	if r.lines == 0 {
		r.reply.Begin(message.Status, message.Retry)
	}
	r.lines++
	r.ended = line.Final != ""
	if err := r.reply.Line(message.Line); err != nil {
		r.ended = true
	}
	return !r.ended
}

func (r *replyRelay) breakOff() {
	broken := ReplyLine{Request: r.request, Type: failure.Unreachable, Detail: "the reply broke off between two couriers"}
	if r.lines == 0 {
		broken.Final = auction.Unknown
		r.reply.Begin(http.StatusGatewayTimeout, 0)
	} else {
		broken.Final, broken.Chunks = auction.Failed, r.lines
	}
	_ = r.reply.Line(broken.encode())
}
