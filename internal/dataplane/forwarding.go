package dataplane

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// Forwarder is the port by which a request is forwarded to another router.
type Forwarder interface {
	// Forward sends the request's body, and gives the records of the reply to take, as they
	// come, until take returns false or the client has left. Begun is false only when
	// certainly no byte was sent.
	Forward(address string, forwarding wire.Forwarding, body []byte, whenLeft func(act func()), take func(record codec.Record) bool) (begun bool)
}

// incarnationTimeout is how long a router may take to tell its incarnation.
const incarnationTimeout = 500 * time.Millisecond

// capableRouters are the other routers that support all enabled flags, in the order of
// rendezvous hashing for the request.
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

// forward forwards a request to a capable router and streams its reply to the client. Another
// router is tried only when the one before certainly has not begun: so a request that is not
// idempotent runs at most once.
func (r *Router) forward(arrival Arrival, reply Reply) {
	never := false
	refused := ReplyLine{
		Request:           arrival.Request.ID,
		Final:             auction.Refused,
		Ran:               &never,
		Type:              failure.Restricted,
		Detail:            "this courier lacks an enabled flag and no capable one was reached",
		RetryAfterSeconds: 1,
	}
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

// isOldRelease tells whether an error is that of a release which does not know the path.
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

// acceptsForwarding tells whether a forwarded request is for this incarnation of the router and
// is delivered for the first time.
func (r *Router) acceptsForwarding(arrival Arrival) bool {
	forwarding := arrival.Forwarding
	if forwarding == nil || forwarding.Nonce == "" {
		return true
	}
	if forwarding.Incarnation != "" && forwarding.Incarnation != r.incarnation {
		return false
	}
	return r.seenForwardings.first(r.runtime.Now(), forwarding.Nonce)
}

// seenForwardings remembers the forwardings that this router accepted, to refuse duplicates.
type seenForwardings struct {
	mutex sync.Mutex
	seen  map[string]time.Time
	order []string
}

// maxForwardings bounds the memory; forwardingTTL is how long one is remembered.
const (
	maxForwardings = 65536
	forwardingTTL  = 10 * time.Minute
)

// first tells whether the nonce comes for the first time.
func (p *seenForwardings) first(now time.Time, nonce string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.seen == nil {
		p.seen = map[string]time.Time{}
	}
	if _, found := p.seen[nonce]; found {
		return false
	}
	p.seen[nonce] = now
	p.order = append(p.order, nonce)
	for len(p.order) > maxForwardings || (len(p.order) > 0 && now.Sub(p.seen[p.order[0]]) > forwardingTTL) {
		delete(p.seen, p.order[0])
		p.order = p.order[1:]
	}
	return true
}

// RecordReply is a Reply that sends its lines as stream records to the router that forwarded the
// request.
type RecordReply struct {
	Request string
	Writer  string
	// Send sends a record to that router.
	Send func(record codec.Record) error
	// ClientGone is how its origin's leaving is heard.
	ClientGone func(act func())

	status int
	retry  int
	number uint64
}

// Begin keeps the status for the records.
func (r *RecordReply) Begin(status, retrySeconds int) {
	r.status, r.retry = status, retrySeconds
}

// Line sends one line as a record.
func (r *RecordReply) Line(line []byte) error {
	r.number++
	record, err := codec.EncodeStreamMessage(codec.StreamMessage{Request: r.Request, Line: line, Status: r.status, Retry: r.retry}, r.Writer, r.number)
	if err != nil {
		return err
	}
	return r.Send(record)
}

// OnClientGone has act called when the forwarding router closes its connection.
func (r *RecordReply) OnClientGone(act func()) { r.ClientGone(act) }
