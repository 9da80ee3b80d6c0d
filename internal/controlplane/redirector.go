package controlplane

import (
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
	"seamloom.example/seamloom/internal/wire"
)

// Redirector is a node of the control plane without a disk. It stores nothing and is not a member.
// It finds the controller that is primary, so that operators' requests can be redirected to it.
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
	// redirectorTimeout limits one attempt, in which all candidates are asked in parallel.
	redirectorTimeout = 300 * time.Millisecond
	// redirectorAttempts is the number of attempts in a search. The second attempt asks the
	// addresses that the first one learned.
	redirectorAttempts = 2
	// redirectorTTL is how long an answer is used without asking again.
	redirectorTTL = 500 * time.Millisecond
	// redirectorInterval is the time between two searches without a request: the known membership
	// must be refreshed before all machines that it names are replaced.
	redirectorInterval = 2 * time.Second
)

// NewRedirector returns a redirector that starts its search at the seeds.
func NewRedirector(rt runtime.Runtime, client wire.Client, seeds []string) *Redirector {
	return &Redirector{runtime: rt, client: client, seeds: seeds}
}

// SetSeeds replaces the seeds, after a reload of the settings.
func (r *Redirector) SetSeeds(seeds []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seeds = seeds
}

// Run follows the membership until the process ends.
func (r *Redirector) Run() {
	runtime.Every(r.runtime, redirectorInterval, func() { r.Leader() })
}

// Leader returns the address of the controller that is primary, or "" if none responds as primary.
func (r *Redirector) Leader() string {
	r.mutex.Lock()
	known, fresh := r.leader, r.runtime.Now().Sub(r.answeredAt) < redirectorTTL
	r.mutex.Unlock()
	if known != "" && fresh {
		return known
	}
	asked := map[string]bool{}
	for range redirectorAttempts {
		if leader := r.askAll(r.nextCandidates(asked)); leader != "" {
			return leader
		}
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.leader = ""
	return ""
}

// nextCandidates returns the addresses of the last known primary, of the controllers of the newest
// membership and of the seeds, without those in asked, and adds the returned addresses to asked.
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

// askAll asks all addresses in parallel and returns the first that responds as primary, or "".
func (r *Redirector) askAll(addresses []string) string {
	var mutex sync.Mutex
	cond := r.runtime.NewCond()
	left, leader := len(addresses), ""
	for _, address := range addresses {
		r.runtime.Go(func() {
			var hello replication.Hello
			// A hello without a sender is answered, and the receiver does not record it.
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

// learn records the membership and the primary from a response, and reports whether its sender is
// primary.
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
