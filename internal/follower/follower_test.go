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

// unreachableClient is a network on which some addresses answer news and all others say nothing,
// as machines without power do.
type unreachableClient struct {
	mutex   sync.Mutex
	answers map[string]wire.UpdateResponse
	closed  chan struct{}
}

func (d *unreachableClient) set(address string, response *wire.UpdateResponse) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if response == nil {
		delete(d.answers, address)
		return
	}
	d.answers[address] = *response
}

func (d *unreachableClient) CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	d.mutex.Lock()
	response, lit := d.answers[address]
	d.mutex.Unlock()
	if !lit || path != wire.UpdatesPath {
		select {
		case <-time.After(timeout):
		case <-d.closed:
		}
		return nil, failure.New(failure.Unreachable, address)
	}
	var request wire.UpdateRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	if response.Leads && request.MaxWait > 0 {
		select {
		case <-time.After(request.MaxWait / 20):
		case <-d.closed:
		}
	}
	return msgpack.Marshal(response)
}

func seats(prefix string) replication.Membership {
	replica := func(number int) replication.Replica {
		name := fmt.Sprintf("%s%d", prefix, number)
		return replication.Replica{Identity: replication.Identity("disk " + name), Address: name, Name: name}
	}
	return replication.Membership{Primary: replica(0), Backup: replica(1), Witnesses: []replication.Replica{replica(0), replica(1), replica(2)}}
}

// TestFollowerFindsACoreOfWhichAllMachinesWereReplaced loses a primary, while every
// address that the follower knows of the core is dark, its seeds too. One router of many
// knows the present core. The follower notices the silence and has the new primary's word
// within less time than a configuration may take to be in force.
func TestFollowerFindsACoreOfWhichAllMachinesWereReplaced(t *testing.T) {
	const bound = 2 * time.Second
	for _, row := range []struct {
		name string
		// lit are the peers that answer with the newer membership, of so many.
		peers int
		lit   int
	}{
		{"the nearest courier knows", 9, 0},
		{"one of nine couriers knows", 9, 7},
		{"one of thirty couriers knows, halfway down", 30, 14},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			client := &unreachableClient{answers: map[string]wire.UpdateResponse{}, closed: make(chan struct{})}
			defer close(client.closed)
			rt := osruntime.New(t.Context(), osruntime.NewClock())
			taken := make(chan replication.Version, 1000)
			follower := New(rt, client, membership.Member{Name: "courier-1", Kind: membership.Router}, []string{"old0", "old1", "old2"},
				func() replication.Version { return replication.Version{} }, func(update Update) { taken <- update.Response.Configuration })
			follower.Follow(true, true)
			var p []string
			for number := range row.peers {
				p = append(p, fmt.Sprintf("courier%d", number))
			}
			follower.SetContacts([]string{"old3", "old4", "old5", "old6"}, p)
			before, after := seats("old"), seats("new")
			before.Epoch, after.Epoch = 4, 19
			client.set("old0", &wire.UpdateResponse{Leads: true, Membership: before, Configuration: replication.Version{Epoch: 4, Number: 9}, Lease: time.Second})
			rt.Go(follower.Run)
			<-taken
			client.set(fmt.Sprintf("courier%d", row.lit), &wire.UpdateResponse{Membership: after})
			newest := replication.Version{Epoch: 19, Number: 33}
			client.set("new0", &wire.UpdateResponse{Leads: true, Membership: after, Configuration: newest, Lease: time.Second})
			lost := time.Now()
			client.set("old0", nil)
			for found := false; !found; {
				select {
				case version := <-taken:
					found = version == newest
				case <-time.After(5 * bound):
					t.Fatal("the new primary is not found")
				}
			}
			if took := time.Since(lost); took > bound {
				t.Errorf("the new primary was found after %v", took)
			}
		})
	}
}
