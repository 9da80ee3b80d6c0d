package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// flood multiplies the traffic by five for five seconds.
func flood(lifetime context.Context, d *Day) {
	d.Clients.SetRates(d.Long*5, d.Short*5)
	sleep(lifetime, 5*time.Second)
	d.Clients.SetRates(d.Long, d.Short)
}

// evacuate returns a fault that evacuates some zones concurrently and restores them later.
func evacuate(count int) func(context.Context, *Day) {
	return func(lifetime context.Context, d *Day) {
		zones := d.Fleet.Deployment.Zones
		first := d.draw(len(zones))
		var callers sync.WaitGroup
		for number := range count {
			zone := zones[(first+number)%len(zones)]
			callers.Go(func() {
				node := d.anyController()
				accepted := node != nil && d.Operators.Evacuate(node, zone)
				d.Logf("evacuate %s: %v", zone, accepted)
			})
		}
		callers.Wait()
		sleep(lifetime, 6500*time.Millisecond)
		for number := range count {
			restored := zones[(first+number)%len(zones)]
			Await(10*time.Second, func() bool {
				node := d.anyController()
				return node != nil && d.Operators.Restore(node, restored)
			})
		}
	}
}

// storm makes eight operators change the configuration concurrently and without pause,
// while new revisions are put one after another.
func storm(lifetime context.Context, d *Day) {
	deadline := time.Now().Add(5 * time.Second)
	going := func() bool { return time.Now().Before(deadline) && lifetime.Err() == nil }
	var accepted atomic.Int64
	var callers sync.WaitGroup
	for number := range 8 {
		path := fmt.Sprintf("/v1/evacuations/nowhere-%d", number)
		callers.Go(func() {
			for going() {
				for _, method := range []string{http.MethodPost, http.MethodDelete} {
					if node := d.anyController(); node != nil {
						if answer, err := d.Operators.Call(node, method, path, nil, ""); err == nil && answer.Outcome == "accepted" {
							accepted.Add(1)
						}
					}
				}
			}
		})
	}
	for going() {
		if d.NextRevision() {
			accepted.Add(1)
		}
	}
	callers.Wait()
	d.Logf("%d concurrent changes were accepted", accepted.Load())
}

// race makes four operators change the same version of the configuration concurrently, five
// times. At most one of the four changes may be accepted each time.
func race(lifetime context.Context, d *Day) {
	for range 5 {
		node := d.anyController()
		if node == nil || !sleep(lifetime, 100*time.Millisecond) {
			return
		}
		current, err := d.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
		if err != nil || current.Status != http.StatusOK {
			continue
		}
		var callers sync.WaitGroup
		for range 4 {
			revision := d.takeRevision()
			callers.Go(func() {
				if node := d.anyController(); node != nil {
					d.Operators.PutRevision(node, revision, current)
				}
			})
		}
		callers.Wait()
	}
}

// largeConfiguration adds 8000 routes and removes them again.
func largeConfiguration(lifetime context.Context, d *Day) {
	d.withManyRoutes(lifetime, func() { sleep(lifetime, 4*time.Second) })
}

// largeStorm runs storm on a configuration with 8000 additional routes.
func largeStorm(lifetime context.Context, d *Day) {
	d.withManyRoutes(lifetime, func() { storm(lifetime, d) })
}

// withManyRoutes adds 8000 routes, calls act, and removes the routes again.
func (d *Day) withManyRoutes(lifetime context.Context, act func()) {
	var many, none strings.Builder
	for number := range 8000 {
		comma := ","
		if number == 0 {
			comma = ""
		}
		_, _ = fmt.Fprintf(&many,
			`%s"many-%d":{"order":5,"match":{"service":"%s","origin":"nobody-%d"},"to":{"districts":["%s"]}}`,
			comma, number, d.Fleet.Deployment.Short.Service, number, d.Fleet.Deployment.Zones[number%3])
		_, _ = fmt.Fprintf(&none, `%s"many-%d":null`, comma, number)
	}
	for _, routes := range []string{many.String(), none.String()} {
		accepted := Await(20*time.Second, func() bool {
			node := d.anyController()
			if node == nil {
				return false
			}
			current, err := d.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
			if err != nil {
				return false
			}
			answer, err := d.Operators.Call(node, http.MethodPatch, "/v1/configuration",
				url.Values{"expected": {current.Version}, "change": {uuid.NewString()}}, `{"routes":{`+routes+`}}`)
			return err == nil && answer.Outcome == "accepted"
		})
		d.Logf("a configuration of %d bytes was accepted: %v", len(routes), accepted)
		if routes == many.String() {
			act()
		}
		sleep(lifetime, time.Second)
	}
}
