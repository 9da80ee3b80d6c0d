package hatch

import (
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// Redirector is the control plane's conduct at a node without a disk: it keeps nothing
// and belongs to no core, but knows which expediter is primary when it is asked.
type Redirector struct {
	runtime runtime.Runtime
	line    Hotline

	mutex      sync.Mutex
	seeds      []string
	membership replication.Membership
	leader     string
	asked      time.Time
}

const (
	// redirectorPatience is how long each expediter may take to say who leads: all are
	// asked at once.
	redirectorPatience = 300 * time.Millisecond
	// redirectorSearches is how often the search goes on with what it has just learnt.
	redirectorSearches = 2
	// redirectorFresh is how long an answer is believed.
	redirectorFresh = 500 * time.Millisecond
	// redirectorRefresh lies between two looks at the membership while nobody asks: what is
	// known of it must not outlive the machines that it names.
	redirectorRefresh = 2 * time.Second
)

// NewRedirector makes a signpost that begins its search at the seeds.
func NewRedirector(rt runtime.Runtime, line Hotline, seeds []string) *Redirector {
	return &Redirector{runtime: rt, line: line, seeds: seeds}
}

// SetSeeds exchanges the seeds, after a reload.
func (redirector *Redirector) SetSeeds(seeds []string) {
	redirector.mutex.Lock()
	defer redirector.mutex.Unlock()
	redirector.seeds = seeds
}

// Run follows the membership until the process ends.
func (redirector *Redirector) Run() {
	runtime.Every(redirector.runtime, redirectorRefresh, func() { redirector.Leader() })
}

// Leader is the address of the expediter that is primary, or empty if none says so.
func (redirector *Redirector) Leader() string {
	redirector.mutex.Lock()
	known, fresh := redirector.leader, redirector.runtime.Now().Sub(redirector.asked) < redirectorFresh
	redirector.mutex.Unlock()
	if known != "" && fresh {
		return known
	}
	asked := map[string]bool{}
	for range redirectorSearches {
		if leader := redirector.askAll(redirector.unasked(asked)); leader != "" {
			return leader
		}
	}
	redirector.mutex.Lock()
	defer redirector.mutex.Unlock()
	redirector.leader = ""
	return ""
}

// unasked are the addresses that may know, and were not asked in this search: who led
// last, those of the newest membership, the seeds.
func (redirector *Redirector) unasked(asked map[string]bool) []string {
	redirector.mutex.Lock()
	defer redirector.mutex.Unlock()
	candidates := []string{redirector.leader, redirector.membership.Primary.Address}
	for _, replica := range slices.Concat(redirector.membership.Copies(), redirector.membership.Electors()) {
		candidates = append(candidates, replica.Address)
	}
	var addresses []string
	for _, address := range append(candidates, redirector.seeds...) {
		if address != "" && !asked[address] {
			asked[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// askAll asks all addresses at once, and gives the first that leads.
func (redirector *Redirector) askAll(addresses []string) string {
	var mutex sync.Mutex
	cond := redirector.runtime.NewCond()
	left, leader := len(addresses), ""
	for _, address := range addresses {
		redirector.runtime.Go(func() {
			var hello replication.Hello
			// A hello from nobody is answered, and leaves no trace.
			err := Call(redirector.line, address, HelloPath, replication.Hello{}, &hello, redirectorPatience)
			leads := err == nil && redirector.learn(address, hello)
			mutex.Lock()
			left--
			if leads {
				leader = address
			}
			mutex.Unlock()
			cond.Broadcast()
		})
	}
	cond.Wait(redirectorPatience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return leader != "" || left == 0
	})
	mutex.Lock()
	defer mutex.Unlock()
	return leader
}

// learn takes an answer and tells whether its giver leads.
func (redirector *Redirector) learn(address string, hello replication.Hello) bool {
	redirector.mutex.Lock()
	defer redirector.mutex.Unlock()
	if hello.Membership.Epoch > redirector.membership.Epoch {
		redirector.membership = hello.Membership
	}
	if hello.Leads {
		redirector.leader, redirector.asked = address, redirector.runtime.Now()
	}
	return hello.Leads
}
