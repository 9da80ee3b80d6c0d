package follower

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// partitionedClient is a client that reaches only the addresses in responses, and only for polls. All other
// calls hang until their timeout, as calls to machines without power do.
type partitionedClient struct {
	mutex     sync.Mutex
	responses map[string]wire.UpdateResponse
	closed    chan struct{}
}

// set sets the response of an address. Without a response the address is unreachable.
func (c *partitionedClient) set(address string, response *wire.UpdateResponse) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if response == nil {
		delete(c.responses, address)
		return
	}
	c.responses[address] = *response
}

func (c *partitionedClient) CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	c.mutex.Lock()
	response, reachable := c.responses[address]
	c.mutex.Unlock()
	if !reachable || path != wire.UpdatesPath {
		select {
		case <-time.After(timeout):
		case <-c.closed:
		}
		return nil, failure.New(failure.Unreachable, address)
	}
	var request wire.UpdateRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	// A primary without an update holds back its response. It waits only a fraction of MaxWait
	// here, to keep the test short.
	if response.Leads && request.MaxWait > 0 {
		select {
		case <-time.After(request.MaxWait / 20):
		case <-c.closed:
		}
	}
	return msgpack.Marshal(response)
}

// membershipOf returns a membership of three controllers whose addresses have the prefix.
func membershipOf(prefix string) replication.Membership {
	replica := func(number int) replication.Replica {
		name := fmt.Sprintf("%s%d", prefix, number)
		return replication.Replica{Identity: replication.Identity("disk " + name), Address: name, Name: name}
	}
	return replication.Membership{
		Primary:   replica(0),
		Backup:    replica(1),
		Witnesses: []replication.Replica{replica(0), replica(1), replica(2)},
	}
}

// TestFollowerFindsACoreOfWhichAllMachinesWereReplaced makes the primary unreachable, as are all other
// addresses of controllers that the follower knows, including its seeds. Only one of the routers knows the new
// controllers. The follower must detect the loss and apply a response of the new primary within 2 s, the time in
// which a change of the configuration must take effect on all routers.
func TestFollowerFindsACoreOfWhichAllMachinesWereReplaced(t *testing.T) {
	const bound = 2 * time.Second
	for _, row := range []struct {
		name string
		// peers is the number of routers.
		peers int
		// reachable is the position of the only router that responds; this router knows the newer membership.
		reachable int
	}{
		{"the first of nine routers knows the new controllers", 9, 0},
		{"the eighth of nine routers knows the new controllers", 9, 7},
		{"the fifteenth of thirty routers knows the new controllers", 30, 14},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			client := &partitionedClient{responses: map[string]wire.UpdateResponse{}, closed: make(chan struct{})}
			defer close(client.closed)
			rt := osruntime.New(t.Context(), osruntime.NewClock())
			applied := make(chan replication.Version, 1000)
			follower := New(rt, client, membership.Member{Name: "courier-1", Kind: membership.Router}, []string{"old0", "old1", "old2"},
				func() replication.Version { return replication.Version{} }, func(update Update) { applied <- update.Response.Configuration })
			follower.Follow(true, true)
			var routers []string
			for number := range row.peers {
				routers = append(routers, fmt.Sprintf("router%d", number))
			}
			follower.SetContacts([]string{"old3", "old4", "old5", "old6"}, routers)
			before, after := membershipOf("old"), membershipOf("new")
			before.Epoch, after.Epoch = 4, 19
			client.set("old0", &wire.UpdateResponse{
				Leads:         true,
				Membership:    before,
				Configuration: replication.Version{Epoch: 4, Number: 9},
				Lease:         time.Second,
			})
			rt.Go(follower.Run)
			<-applied
			client.set(fmt.Sprintf("router%d", row.reachable), &wire.UpdateResponse{Membership: after})
			newest := replication.Version{Epoch: 19, Number: 33}
			client.set("new0", &wire.UpdateResponse{Leads: true, Membership: after, Configuration: newest, Lease: time.Second})
			lost := time.Now()
			client.set("old0", nil)
			for found := false; !found; {
				select {
				case version := <-applied:
					found = version == newest
				case <-time.After(5 * bound):
					t.Fatal("the new primary was not found")
				}
			}
			if took := time.Since(lost); took > bound {
				t.Errorf("finding the new primary took %v, want at most %v", took, bound)
			}
		})
	}
}
