package hatch

import (
	"slices"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/runtime"
)

// Signpost is the control plane's conduct at a node without a disk: it keeps nothing
// and belongs to no core, but knows which expediter is primary when it is asked.
type Signpost struct {
	turns runtime.Runtime
	line  Hotline

	mutex      sync.Mutex
	seeds      []string
	membership replication.Membership
	leader     string
	asked      time.Time
}

const (
	// signpostPatience is how long each expediter may take to say who leads: all are
	// asked at once.
	signpostPatience = 300 * time.Millisecond
	// signpostSearches is how often the search goes on with what it has just learnt.
	signpostSearches = 2
	// signpostFresh is how long an answer is believed.
	signpostFresh = 500 * time.Millisecond
	// signpostRefresh lies between two looks at the membership while nobody asks: what is
	// known of it must not outlive the machines that it names.
	signpostRefresh = 2 * time.Second
)

// NewSignpost makes a signpost that begins its search at the seeds.
func NewSignpost(turns runtime.Runtime, line Hotline, seeds []string) *Signpost {
	return &Signpost{turns: turns, line: line, seeds: seeds}
}

// SetSeeds exchanges the seeds, after a reload.
func (signpost *Signpost) SetSeeds(seeds []string) {
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	signpost.seeds = seeds
}

// Run follows the membership until the process ends.
func (signpost *Signpost) Run() {
	runtime.Every(signpost.turns, signpostRefresh, func() { signpost.Leader() })
}

// Leader is the address of the expediter that is primary, or empty if none says so.
func (signpost *Signpost) Leader() string {
	signpost.mutex.Lock()
	known, fresh := signpost.leader, signpost.turns.Now().Sub(signpost.asked) < signpostFresh
	signpost.mutex.Unlock()
	if known != "" && fresh {
		return known
	}
	asked := map[string]bool{}
	for range signpostSearches {
		if leader := signpost.askAll(signpost.unasked(asked)); leader != "" {
			return leader
		}
	}
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	signpost.leader = ""
	return ""
}

// unasked are the addresses that may know, and were not asked in this search: who led
// last, those of the newest membership, the seeds.
func (signpost *Signpost) unasked(asked map[string]bool) []string {
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	candidates := []string{signpost.leader, signpost.membership.Primary.Address}
	for _, replica := range slices.Concat(signpost.membership.Copies(), signpost.membership.Electors()) {
		candidates = append(candidates, replica.Address)
	}
	var addresses []string
	for _, address := range append(candidates, signpost.seeds...) {
		if address != "" && !asked[address] {
			asked[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// askAll asks all addresses at once, and gives the first that leads.
func (signpost *Signpost) askAll(addresses []string) string {
	var mutex sync.Mutex
	bell := signpost.turns.NewCond()
	left, leader := len(addresses), ""
	for _, address := range addresses {
		signpost.turns.Go(func() {
			var hello replication.Hello
			// A hello from nobody is answered, and leaves no trace.
			err := Call(signpost.line, address, HelloPath, replication.Hello{}, &hello, signpostPatience)
			leads := err == nil && signpost.learn(address, hello)
			mutex.Lock()
			left--
			if leads {
				leader = address
			}
			mutex.Unlock()
			bell.Broadcast()
		})
	}
	bell.Wait(signpostPatience, func() bool {
		mutex.Lock()
		defer mutex.Unlock()
		return leader != "" || left == 0
	})
	mutex.Lock()
	defer mutex.Unlock()
	return leader
}

// learn takes an answer and tells whether its giver leads.
func (signpost *Signpost) learn(address string, hello replication.Hello) bool {
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	if hello.Charter.Epoch > signpost.membership.Epoch {
		signpost.membership = hello.Charter
	}
	if hello.Leads {
		signpost.leader, signpost.asked = address, signpost.turns.Now()
	}
	return hello.Leads
}
