package seamloom

import (
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/lease"
)

// The intervals of a router's roles. The values are ours.
const (
	roleInterval = 100 * time.Millisecond
	// commandInterval is the least time between two commands to a server that reports its
	// own load.
	commandInterval = time.Second
	// commandVisibleWithin is how long it may take until an order that a server took shows
	// in what the server list or a report says of it.
	commandVisibleWithin = 3 * time.Second
)

// roleDecisions does what the router's roles ask for: the holder of the parts key submits
// orders, and the holder of a server's key commands that server to take its order. Each
// decision carries the role's fencing token and expires with the lease, so that a router
// that slept through its lease can't overrule its successor.
func (c *Core) roleDecisions(now time.Time) []Decision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !now.Before(c.roleEnds) || now.Before(c.nextRoleTick) || len(c.roles) == 0 {
		return nil
	}
	c.nextRoleTick = now.Add(roleInterval)
	servers := c.market.Listing()
	var decisions []Decision
	for _, role := range c.roles {
		if role.Key == lease.PartsKey {
			if orders := c.roleOrders(now); len(orders) > 0 {
				decisions = append(decisions, Decision{
					Kind:     auction.SubmitOrders,
					Role:     role,
					Orders:   orders,
					NotAfter: c.roleEnds,
				})
			}
			continue
		}
		if name, isServer := strings.CutPrefix(role.Key, lease.ServerKey("")); isServer && c.commandDue(now, name, role) {
			decisions = append(decisions, c.commandFor(now, name, role, servers)...)
		}
	}
	sort.SliceStable(decisions, func(i, j int) bool { return decisions[i].Server < decisions[j].Server })
	return decisions
}

// commandDue tells whether a server is to be commanded now to take the order in force.
func (c *Core) commandDue(now time.Time, server string, role Role) bool {
	order, ordered := c.orders[server]
	if !ordered {
		return false
	}
	sinceCommand := now.Sub(c.commandedAt[server])
	if serverRole, changing, listed := c.calls.Role(server); listed {
		// A server whose role is listed is commanded only to take another one: a change
		// costs it time. That it took the order shows in the reports a while later.
		return !changing && serverRole != order.Part && sinceCommand >= commandVisibleWithin
	}
	load, reported := c.market.Load(now, server)
	if !reported || sinceCommand < commandInterval {
		return false
	}
	// A new holder commands once in any case: the server learns the fencing token, and
	// refuses what an older holder may still send after a long pause.
	return string(load.Role) != order.Part || c.announcedToken[server] != role.FencingToken
}

// commandFor commands a listed server to take the order in force.
func (c *Core) commandFor(now time.Time, name string, role Role, servers []Server) []Decision {
	order := c.orders[name]
	for _, server := range servers {
		if server.Name == name {
			c.commandedAt[name], c.announcedToken[name] = now, role.FencingToken
			return []Decision{{
				Kind:       auction.CommandServer,
				Server:     name,
				Address:    server.Address,
				Role:       role,
				ServerRole: auction.ServerRole(order.Part),
				Order:      &order,
				NotAfter:   c.roleEnds,
			}}
		}
	}
	return nil
}

// roleOrders are the orders that the holder of the parts key submits now: by the load of
// opaque calls where the server list says what servers do, by the market's reports
// otherwise.
func (c *Core) roleOrders(now time.Time) []Order {
	if !c.calls.Disaggregated() {
		if !c.roleBalancer.Due(now) {
			return nil
		}
		servers, loads := c.market.Loads(now)
		return c.roleBalancer.Decide(now, servers, loads, c.orders, c.configuration.Evacuated)
	}
	if c.options.FixedRoles {
		return nil
	}
	return c.callRoleBalancer.Decide(now, c.calls)
}
