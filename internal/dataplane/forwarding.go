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

// Forwarder is the port that forwards a request to another router.
type Forwarder interface {
	// Forward sends the request's body and calls onRecord with each record of the reply, until
	// onRecord returns false or the client has disconnected. Forward registers a callback for the
	// disconnect through onClientGone. It returns false only if it is certain that no byte was
	// sent.
	Forward(
		address string,
		forwarding wire.Forwarding,
		body []byte,
		onClientGone func(callback func()),
		onRecord func(record codec.Record) bool,
	) (started bool)
}

// incarnationTimeout is how long another router may take to return its incarnation.
const incarnationTimeout = 500 * time.Millisecond

// capableRouters returns the other routers that support all enabled flags, in the order of
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
	for _, name := range membership.RankByWeight(request, names) {
		members = append(members, r.members[name])
	}
	return members
}

// forward forwards a request to a capable router and streams the reply to the client. It tries
// another router only if it is certain that the previous one has not received the request, so that
// a request that is not idempotent runs at most once. A request that another router has already
// forwarded is refused.
func (r *Router) forward(arrival Arrival, reply Reply) {
	notRun := false
	refused := ReplyLine{
		Request:           arrival.Request.ID,
		Final:             auction.Refused,
		Ran:               &notRun,
		Type:              failure.Restricted,
		Detail:            "this router does not support an enabled flag, and no router that does was reached",
		RetryAfterSeconds: 1,
	}
	if arrival.Forwarding == nil {
		for _, member := range r.capableRouters(arrival.Request.ID) {
			forwarding := wire.Forwarding{Nonce: r.nonce()}
			if !arrival.Request.Idempotent {
				var response wire.IncarnationResponse
				err := wire.Call(r.client, member.Address, wire.IncarnationPath, wire.Empty{}, &response, incarnationTimeout)
				if failure.CodeOf(err) == failure.Unreachable && !r.isOldRelease(err) {
					continue
				}
				forwarding.Incarnation = response.Incarnation
			}
			relay := &replyRelay{reply: reply, request: arrival.Request.ID}
			if !r.forwarder.Forward(member.Address, forwarding, arrival.Body, reply.OnClientGone, relay.relayLine) {
				continue
			}
			if !relay.ended {
				relay.finishIncomplete()
			}
			return
		}
	}
	writeLine(reply, refused)
}

// isOldRelease reports whether an error of a call to IncarnationPath comes from a router of an older
// release, which lacks that path.
func (r *Router) isOldRelease(err error) bool {
	return err != nil && failure.CodeOf(err) == failure.Unreachable && failure.DetailOf(err) == "status 404"
}

// replyRelay forwards the lines of stream records to the client as they arrive. If the stream breaks,
// finishIncomplete ends the reply with a final line that states what is known of the outcome.
type replyRelay struct {
	reply   Reply
	request string
	// lines is the number of lines that were forwarded.
	lines int
	// ended is set once the final line was forwarded or the client has disconnected.
	ended bool
}

// relayLine forwards the line of one record. It returns false if the reply has ended, or the record
// is malformed, out of order or of another request.
func (r *replyRelay) relayLine(record codec.Record) bool {
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

// finishIncomplete ends a reply whose stream broke or had an invalid record: with status Unknown if
// no line was forwarded, otherwise with status Failed.
func (r *replyRelay) finishIncomplete() {
	final := ReplyLine{Request: r.request, Type: failure.Unreachable, Detail: "the connection between two routers broke during the reply"}
	if r.lines == 0 {
		final.Final = auction.Unknown
		r.reply.Begin(http.StatusGatewayTimeout, 0)
	} else {
		final.Final, final.Chunks = auction.Failed, r.lines
	}
	_ = r.reply.Line(final.encode())
}

// acceptsForwarding reports whether a request may be served here. A forwarded request must be
// meant for this incarnation of the router and be delivered for the first time; a forwarding
// without a nonce, from an older release, is always accepted.
func (r *Router) acceptsForwarding(arrival Arrival) bool {
	forwarding := arrival.Forwarding
	if forwarding == nil || forwarding.Nonce == "" {
		return true
	}
	if forwarding.Incarnation != "" && forwarding.Incarnation != r.incarnation {
		return false
	}
	return r.seenForwardings.isNew(r.runtime.Now(), forwarding.Nonce)
}

// seenForwardings records the nonces of accepted forwardings, to refuse duplicates.
type seenForwardings struct {
	mutex sync.Mutex
	// seen holds the time at which each nonce was recorded; order holds the nonces, oldest first.
	seen  map[string]time.Time
	order []string
}

const (
	// maxForwardings is the maximum number of recorded nonces.
	maxForwardings = 65536
	// forwardingTTL is how long a nonce is recorded.
	forwardingTTL = 10 * time.Minute
)

// isNew records a nonce and reports whether it was not recorded before.
func (s *seenForwardings) isNew(now time.Time, nonce string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.seen == nil {
		s.seen = map[string]time.Time{}
	}
	if _, found := s.seen[nonce]; found {
		return false
	}
	s.seen[nonce] = now
	s.order = append(s.order, nonce)
	for len(s.order) > maxForwardings || (len(s.order) > 0 && now.Sub(s.seen[s.order[0]]) > forwardingTTL) {
		delete(s.seen, s.order[0])
		s.order = s.order[1:]
	}
	return true
}

// RecordReply is a Reply that sends its lines as stream records to the router that forwarded
// the request.
type RecordReply struct {
	Request string
	// Writer is the name of this router.
	Writer string
	// Send sends a record to the forwarding router.
	Send func(record codec.Record) error
	// RegisterClientGone registers a callback for when the forwarding router closes its connection.
	RegisterClientGone func(callback func())

	status int
	retry  int
	number uint64
}

// Begin stores the HTTP status and the retry delay, which each record carries.
func (r *RecordReply) Begin(status, retrySeconds int) {
	r.status, r.retry = status, retrySeconds
}

// Line sends one line as a record.
func (r *RecordReply) Line(line []byte) error {
	r.number++
	record, err := codec.EncodeStreamMessage(codec.StreamMessage{
		Request: r.Request,
		Line:    line,
		Status:  r.status,
		Retry:   r.retry,
	}, r.Writer, r.number)
	if err != nil {
		return err
	}
	return r.Send(record)
}

// OnClientGone registers a callback that is called when the forwarding router closes its connection.
func (r *RecordReply) OnClientGone(callback func()) { r.RegisterClientGone(callback) }
