package replay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Clients send requests at random times, which are drawn from a seed. The average rate is that of the
// site, changed only by setLoad; it doesn't depend on the responses.
type Clients struct {
	events   *EventLog
	site     Site
	balancer *Balancer
	clients  []*client
	inFlight sync.WaitGroup

	mutex      sync.Mutex
	random     *rand.Rand
	loadFactor float64
	burstClass string
	retryAbuse bool
}

// client is one client of a zone.
type client struct {
	zone   string
	number int
	// keepAlive means that the client reuses idle connections; otherwise it opens a new connection
	// for each attempt.
	keepAlive bool
	mutex     sync.Mutex
	idle      []*conn
}

func newClients(events *EventLog, site Site, balancer *Balancer, seed uint64) *Clients {
	clients := &Clients{events: events, site: site, balancer: balancer, random: rand.New(rand.NewPCG(seed, 3)), loadFactor: 1}
	for _, zone := range site.Zones {
		for number := range site.Clients {
			clients.clients = append(clients.clients, &client{
				zone:      zone,
				number:    len(clients.clients)*7919 + number,
				keepAlive: number%3 != 0,
			})
		}
	}
	return clients
}

// setLoad multiplies the usual traffic of a class of requests, or of all classes if class is empty. It
// replaces the factor of an earlier call.
func (c *Clients) setLoad(class string, factor float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.burstClass, c.loadFactor = class, factor
}

// setRetryAbuse sets whether clients retry immediately and often.
func (c *Clients) setRetryAbuse(on bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.retryAbuse = on
}

// nextRequest draws the next request, the pause before it, and the client that sends it.
func (c *Clients) nextRequest() (time.Duration, *request, *client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total, shares := 0.0, make([]float64, len(c.site.Classes))
	for position, class := range c.site.Classes {
		shares[position] = class.Share
		if c.burstClass == class.Name || c.burstClass == "" {
			shares[position] *= c.loadFactor
		}
		total += shares[position]
	}
	draw, chosen := c.random.Float64()*total, 0
	for position, share := range shares {
		if draw -= share; draw < 0 {
			chosen = position
			break
		}
	}
	class := c.site.Classes[chosen]
	if c.retryAbuse {
		class.Retries = 6
	}
	gap := time.Duration(c.random.ExpFloat64() / (c.site.Rate * total) * float64(time.Second))
	route := "r-" + class.Name
	rule := RouteRule{Host: class.Name + ".example", Prefix: "/" + class.Name + "/", Class: class.Name}
	return gap, newRequest(class, route, rule, c.random), c.clients[c.random.IntN(len(c.clients))]
}

// run sends requests until the lifetime ends, then waits for their responses.
func (c *Clients) run(lifetime context.Context) {
	defer c.inFlight.Wait()
	for {
		gap, req, sender := c.nextRequest()
		if !sleep(lifetime, min(gap, time.Second)) {
			return
		}
		req.began = time.Now()
		c.inFlight.Go(func() { c.runRequest(req, sender) })
	}
}

// runRequest sends a request and retries it on new connections as the class of the request allows.
func (c *Clients) runRequest(req *request, sender *client) {
	lastEventID := 0
	for number := 0; ; number++ {
		if req.timeLeft() <= 0 {
			return
		}
		connection, err := c.connection(req, sender, number)
		var last *attempt
		if err != nil {
			c.events.Append(Event{
				Kind:       AttemptEnded,
				Request:    req.id,
				Class:      req.class.Name,
				Route:      req.route,
				Number:     number,
				Idempotent: req.class.mayRepeat(),
				Target:     req.class.Target,
				Began:      req.began,
				Cause:      "no connection: " + err.Error(),
			})
			last = &attempt{request: req, notRead: true}
		} else {
			last = req.send(connection, number, lastEventID, c.events)
			c.releaseConnection(sender, connection, last)
		}
		if spans := last.event.Spans; len(spans) > 0 && req.class.Resumable {
			lastEventID = spans[len(spans)-1].To
		}
		wait, retry := last.retryDelay()
		if !retry || number >= req.class.Retries {
			return
		}
		// Only setRetryAbuse gives a class more than three retries.
		if req.class.Retries > 3 {
			wait = 5 * time.Millisecond
		}
		if !sleep(context.Background(), wait) {
			return
		}
	}
}

// retryDelay returns the pause before the client retries, and whether it retries at all.
func (a *attempt) retryDelay() (time.Duration, bool) {
	event, usualDelay := a.event, 60*time.Millisecond
	switch event.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return max(usualDelay, min(a.retryAfter, a.request.timeLeft()/3)), true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusRequestHeaderFieldsTooLarge:
		return 0, false
	}
	switch {
	case event.Status/100 == 2 && event.Complete, event.Cause == causeClientLeft:
		return 0, false
	case a.notRead:
		return usualDelay, true
	}
	return usualDelay, a.request.class.mayRepeat()
}

// connection returns an idle connection for a first attempt, or opens one to a machine that
// accepts the client's zone. The number of the client picks the machine; retries avoid machines
// that the request has tried.
func (c *Clients) connection(req *request, sender *client, number int) (*conn, error) {
	if number == 0 {
		for {
			connection := sender.takeIdle()
			if connection == nil {
				break
			}
			open, stray := connection.checkIdle()
			if stray {
				c.events.Append(Event{Kind: StrayBytes, Machine: connection.machine})
			}
			if open {
				req.triedMachines[connection.machine] = true
				return connection, nil
			}
			_ = connection.Close()
		}
	}
	targets := c.balancer.accepting(sender.zone)
	if len(targets) == 0 {
		return nil, errNoMachine
	}
	to := targets[sender.number%len(targets)]
	for offset := range targets {
		if other := targets[(sender.number+offset)%len(targets)]; !req.triedMachines[other.machine] {
			to = other
			break
		}
	}
	if number == 0 {
		to = targets[sender.number%len(targets)]
	}
	req.triedMachines[to.machine] = true
	return dial(to)
}

// takeIdle removes and returns the newest idle connection that may be reused, or nil if there is
// none.
func (c *client) takeIdle() *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.idle) > 0 {
		connection := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Now().Before(connection.reusableUntil) {
			return connection
		}
		_ = connection.Close()
	}
	return nil
}

// releaseConnection keeps a connection for the next request, or closes it.
func (c *Clients) releaseConnection(sender *client, connection *conn, last *attempt) {
	if !last.keepAlive || !sender.keepAlive {
		_ = connection.Close()
		return
	}
	_ = connection.SetDeadline(time.Time{})
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.idle = append(sender.idle, connection)
}

// probe sends a request on a route directly to a machine, to observe which configuration the
// machine applies.
func (c *Clients) probe(to target, route string, rule RouteRule) {
	class := c.site.classOf(rule.Class)
	class.Shared, class.OwnTokens, class.MaxTokens, class.BodyBytes, class.Deadline = nil, 60, 2, 200, 2*time.Second
	c.mutex.Lock()
	req := newRequest(class, route, rule, c.random)
	c.mutex.Unlock()
	req.probe, req.leavesEarly = true, false
	connection, err := dial(to)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	req.send(connection, 0, 0, c.events)
}

// close closes the idle connections, and records bytes that arrived on them.
func (c *Clients) close() {
	for _, sender := range c.clients {
		for {
			connection := sender.takeIdle()
			if connection == nil {
				break
			}
			if _, stray := connection.checkIdle(); stray {
				c.events.Append(Event{Kind: StrayBytes, Machine: connection.machine})
			}
			_ = connection.Close()
		}
	}
}
