package seamloom

import (
	"sort"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/auction"
	"seamloom.example/seamloom/internal/lease"
)

// The intervals of a router's roles.
const (
	// roleInterval is the minimum time between two rounds of role decisions.
	roleInterval = 100 * time.Millisecond
	// commandInterval is the minimum time between two commands to a server whose role is
	// known only from its load reports.
	commandInterval = time.Second
	// commandVisibleWithin is the maximum time until the server list or a load report shows
	// that a server has accepted a command.
	commandVisibleWithin = 3 * time.Second
)

// roleDecisions returns the decisions of the roles that this router holds. The holder of
// lease.ServerRolesKey submits orders; the holder of a server's key sends that server the command to
// take the role in its order. Each decision carries the role's fencing token and expires with
// the lease, so that a router that was paused past the end of its lease can't overrule the next
// holder.
func (c *Core) roleDecisions(now time.Time) []Decision {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !now.Before(c.roleEnds) || now.Before(c.nextRoleTick) || len(c.roles) == 0 {
		return nil
	}
	c.nextRoleTick = now.Add(roleInterval)
	servers := c.market.Servers()
	var decisions []Decision
	for _, role := range c.roles {
		if role.Key == lease.ServerRolesKey {
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

// commandDue reports whether a server must now be sent the command for its order in force.
func (c *Core) commandDue(now time.Time, server string, role Role) bool {
	order, ordered := c.orders[server]
	if !ordered {
		return false
	}
	sinceCommand := now.Sub(c.commandedAt[server])
	if serverRole, changing, listed := c.calls.Role(server); listed {
		// A server with a listed role gets a command only if its role must change, because
		// a change interrupts its work. The list and the reports show an accepted command
		// only after a delay.
		return !changing && serverRole != order.Role && sinceCommand >= commandVisibleWithin
	}
	load, reported := c.market.Load(now, server)
	if !reported || sinceCommand < commandInterval {
		return false
	}
	// A new holder of the role sends at least one command. This command gives the server the
	// new fencing token, so that the server rejects delayed commands of an earlier holder.
	return string(load.Role) != order.Role || c.commandedToken[server] != role.FencingToken
}

// commandFor returns the command for a server's order in force, or nothing if the server isn't listed.
func (c *Core) commandFor(now time.Time, name string, role Role, servers []Server) []Decision {
	order := c.orders[name]
	for _, server := range servers {
		if server.Name == name {
			c.commandedAt[name], c.commandedToken[name] = now, role.FencingToken
			return []Decision{{
				Kind:       auction.CommandServer,
				Server:     name,
				Address:    server.Address,
				Role:       role,
				ServerRole: auction.ServerRole(order.Role),
				Order:      &order,
				NotAfter:   c.roleEnds,
			}}
		}
	}
	return nil
}

// roleOrders returns the orders that the holder of lease.ServerRolesKey submits now. They are based on
// the load of opaque calls if the server list gives roles to servers, and otherwise on the load
// reports of the market.
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
