package replay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Clients send requests at a steady seeded rate, whatever becomes of them.
type Clients struct {
	events   *EventLog
	site     Site
	balancer *Balancer
	clients  []*client
	waiting  sync.WaitGroup

	mutex  sync.Mutex
	random *rand.Rand
	times  float64
	bursts string
	abuses bool
}

// client is one of them: it keeps connections, or opens a new one for each try.
type client struct {
	zone   string
	number int
	keeps  bool
	mutex  sync.Mutex
	rest   []*conn
}

func newClients(events *EventLog, site Site, balancer *Balancer, seed uint64) *Clients {
	clients := &Clients{events: events, site: site, balancer: balancer, random: rand.New(rand.NewPCG(seed, 3)), times: 1}
	for _, zone := range site.Zones {
		for number := range site.Clients {
			clients.clients = append(clients.clients, &client{
				zone:   zone,
				number: len(clients.clients)*7919 + number,
				keeps:  number%3 != 0,
			})
		}
	}
	return clients
}

// press multiplies the traffic of a kind of request, or of all.
func (c *Clients) press(class string, times float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bursts, c.times = class, times
}

// abuse has clients try again at once and often, or end that.
func (c *Clients) abuse(on bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.abuses = on
}

// next draws the pause until the next request, and that request and its client.
func (c *Clients) next() (time.Duration, *request, *client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	total, shares := 0.0, make([]float64, len(c.site.Classes))
	for position, class := range c.site.Classes {
		shares[position] = class.Share
		if c.bursts == class.Name || c.bursts == "" {
			shares[position] *= c.times
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
	if c.abuses {
		class.Retries = 6
	}
	gap := time.Duration(c.random.ExpFloat64() / (c.site.Rate * total) * float64(time.Second))
	route := "r-" + class.Name
	rule := RouteRule{Host: class.Name + ".example", Prefix: "/" + class.Name + "/", Class: class.Name}
	return gap, newRequest(class, route, rule, c.random), c.clients[c.random.IntN(len(c.clients))]
}

// run sends requests until the lifetime ends, then waits for their answers.
func (c *Clients) run(lifetime context.Context) {
	defer c.waiting.Wait()
	for {
		gap, one, sender := c.next()
		if !sleep(lifetime, min(gap, time.Second)) {
			return
		}
		one.began = time.Now()
		c.waiting.Go(func() { c.runClient(one, sender) })
	}
}

// runClient sends a request and, as clients do, tries again on a new connection.
func (c *Clients) runClient(one *request, sender *client) {
	behind := 0
	for number := 0; ; number++ {
		if one.left() <= 0 {
			return
		}
		connection, err := c.connection(one, sender, number)
		var again *attempt
		if err != nil {
			c.events.Append(Event{
				Kind:       TryEnded,
				Request:    one.id,
				Class:      one.class.Name,
				Route:      one.route,
				Number:     number,
				Idempotent: one.class.repeats(),
				Aim:        one.class.Aim,
				Began:      one.began,
				Cause:      "no circuit: " + err.Error(),
			})
			again = &attempt{r: one, notRead: true}
		} else {
			again = one.send(connection, number, behind, c.events)
			c.rest(sender, connection, again)
		}
		if spans := again.event.Spans; len(spans) > 0 && one.class.Resumable {
			behind = spans[len(spans)-1].To
		}
		wait, comes := again.retries()
		if !comes || number >= one.class.Retries {
			return
		}
		if one.class.Retries > 3 {
			wait = 5 * time.Millisecond
		}
		if !sleep(context.Background(), wait) {
			return
		}
	}
}

// retries tells whether, and after which pause, a client tries again.
func (a *attempt) retries() (time.Duration, bool) {
	event, usual := a.event, 60*time.Millisecond
	switch event.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return max(usual, min(a.retry, a.r.left()/3)), true
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return 0, false
	}
	switch {
	case event.Status/100 == 2 && event.Complete, event.Cause == causeLeft:
		return 0, false
	case a.notRead:
		return usual, true
	}
	return usual, a.r.class.repeats()
}

// connection takes up a resting connection, or opens one to a machine of the client's zone: a
// hash of the client picks it, and retries meet other machines.
func (c *Clients) connection(one *request, sender *client, number int) (*conn, error) {
	if number == 0 {
		for {
			connection := sender.take()
			if connection == nil {
				break
			}
			open, stray := connection.quiet()
			if stray {
				c.events.Append(Event{Kind: StrayBytes, Machine: connection.machine})
			}
			if open {
				one.machines[connection.machine] = true
				return connection, nil
			}
			_ = connection.Close()
		}
	}
	targets := c.balancer.taking(sender.zone)
	if len(targets) == 0 {
		return nil, errNoMachine
	}
	to := targets[sender.number%len(targets)]
	for offset := range targets {
		if other := targets[(sender.number+offset)%len(targets)]; !one.machines[other.machine] {
			to = other
			break
		}
	}
	if number == 0 {
		to = targets[sender.number%len(targets)]
	}
	one.machines[to.machine] = true
	return dial(to)
}

func (c *client) take() *conn {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(c.rest) > 0 {
		connection := c.rest[len(c.rest)-1]
		c.rest = c.rest[:len(c.rest)-1]
		if time.Now().Before(connection.reusableUntil) {
			return connection
		}
		_ = connection.Close()
	}
	return nil
}

// rest keeps a connection for the next request, or closes it.
func (c *Clients) rest(sender *client, connection *conn, last *attempt) {
	if !last.keeps || !sender.keeps {
		_ = connection.Close()
		return
	}
	_ = connection.SetDeadline(time.Time{})
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.rest = append(sender.rest, connection)
}

// probe sends a request on a route straight to a machine, to see which configuration is
// in force there.
func (c *Clients) probe(to target, route string, rule RouteRule) {
	class := c.site.classOf(rule.Class)
	class.Shared, class.OwnTokens, class.MostTokens, class.BodyBytes, class.Deadline = nil, 60, 2, 200, 2*time.Second
	c.mutex.Lock()
	one := newRequest(class, route, rule, c.random)
	c.mutex.Unlock()
	one.probe, one.leaves = true, false
	connection, err := dial(to)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	one.send(connection, 0, 0, c.events)
}

// close closes what rests.
func (c *Clients) close() {
	for _, sender := range c.clients {
		for {
			connection := sender.take()
			if connection == nil {
				break
			}
			if _, stray := connection.quiet(); stray {
				c.events.Append(Event{Kind: StrayBytes, Machine: connection.machine})
			}
			_ = connection.Close()
		}
	}
}
