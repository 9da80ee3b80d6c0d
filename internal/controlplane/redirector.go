package controlplane

import (
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Redirector is a node of the control plane without a disk: it stores nothing and is no member,
// but finds the controller that is primary, for operators whose requests it redirects.
type Redirector struct {
	runtime runtime.Runtime
	client  wire.Client

	mutex      sync.Mutex
	seeds      []string
	membership replication.Membership
	leader     string
	answeredAt time.Time
}

const (
	// redirectorTimeout is how long each controller may take to say who leads: all are
	// asked at once.
	redirectorTimeout = 300 * time.Millisecond
	// redirectorRounds is how often the search goes on with what it has just learnt.
	redirectorRounds = 2
	// redirectorTTL is how long an answer is believed.
	redirectorTTL = 500 * time.Millisecond
	// redirectorInterval lies between two looks at the membership while nobody asks: what is
	// known of it must not outlive the machines that it names.
	redirectorInterval = 2 * time.Second
)

// NewRedirector makes a redirector that begins its search at the seeds.
func NewRedirector(rt runtime.Runtime, client wire.Client, seeds []string) *Redirector {
	return &Redirector{runtime: rt, client: client, seeds: seeds}
}

// SetSeeds exchanges the seeds, after a reload.
func (r *Redirector) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seeds = seeds
}

// Run follows the membership until the process ends.
func (r *Redirector) Run() {
	runtime.Every(r.runtime, redirectorInterval, func() { r.Leader() })
}

// Leader is the address of the controller that is primary, or empty if none says so.
func (r *Redirector) Leader() string {
	r.mutex.Lock()
	known, fresh := r.leader, r.runtime.Now().Sub(r.answeredAt) < redirectorTTL
	r.mutex.Unlock()
	if known != "" && fresh {
		return known
	}
	asked := map[string]bool{}
	for range redirectorRounds {
		if leader := r.askAll(r.nextCandidates(asked)); leader != "" {
			return leader
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leader = ""
	return ""
}

// unasked are the addresses that may know, and were not asked in this search: who led
// last, those of the newest membership, the seeds.
func (r *Redirector) nextCandidates(asked map[string]bool) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	candidates := []string{r.leader, r.membership.Primary.Address}
	for _, replica := range slices.Concat(r.membership.InSyncReplicas(), r.membership.Voters()) {
		candidates = append(candidates, replica.Address)
	}
	var addresses []string
	for _, address := range append(candidates, r.seeds...) {
		if address != "" && !asked[address] {
			asked[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// pollServers asks all addresses at once, and gives the first that leads.
func (r *Redirector) askAll(addresses []string) string {
	var mutex sync.Mutex
	cond := r.runtime.NewCond()
	left, leader := len(addresses), ""
	for _, address := range addresses {
		r.runtime.Go(func() {
			var hello replication.Hello
			// A hello from nobody is answered, and leaves no trace.
			err := wire.Call(r.client, address, wire.HelloPath, replication.Hello{}, &hello, redirectorTimeout)
			leads := err == nil && r.learn(address, hello)
			mutex.Lock()
			left--
			if leads {
				leader = address
			}
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	cond.Wait(redirectorTimeout, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return leader != "" || left == 0
	})
	mutex.Lock()
	defer mutex.Unlock()
	return leader
}

// learn takes an answer and tells whether its giver leads.
func (r *Redirector) learn(address string, hello replication.Hello) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if hello.Membership.Epoch > r.membership.Epoch {
		r.membership = hello.Membership
	}
	if hello.Leads {
		r.leader, r.answeredAt = address, r.runtime.Now()
	}
	return hello.Leads
}
