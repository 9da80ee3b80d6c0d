package hatch

import (
	"sync"
	"time"

	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
)

// Signpost is the control plane's conduct at a node without a disk: it keeps nothing
// and belongs to no core, but knows which expediter is primary when it is asked.
type Signpost struct {
	turns lease.Turns
	line  Hotline

	mutex   sync.Mutex
	seeds   []string
	charter replication.Membership
	leader  string
	asked   time.Time
}

const (
	// signpostPatience is how long one expediter may take to say who leads, and
	// signpostSearch how long the whole search may take.
	signpostPatience = 300 * time.Millisecond
	signpostSearch   = 700 * time.Millisecond
	// signpostFresh is how long an answer is believed.
	signpostFresh = 500 * time.Millisecond
)

// NewSignpost makes a signpost that begins its search at the seeds.
//
// Example:
//
//	signpost := hatch.NewSignpost(turns, line, chosen.Seeds)
func NewSignpost(turns lease.Turns, line Hotline, seeds []string) *Signpost {
	return &Signpost{turns: turns, line: line, seeds: seeds}
}

// SetSeeds exchanges the seeds, after a reload.
//
// Example:
//
//	signpost.SetSeeds(chosen.Seeds)
func (signpost *Signpost) SetSeeds(seeds []string) {
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	signpost.seeds = seeds
}

// Leader is the address of the expediter that is primary, or empty if none says so.
//
// Example:
//
//	address := signpost.Leader()
func (signpost *Signpost) Leader() string {
	signpost.mutex.Lock()
	if now := signpost.turns.Now(); signpost.leader != "" && now.Sub(signpost.asked) < signpostFresh {
		defer signpost.mutex.Unlock()
		return signpost.leader
	}
	signpost.mutex.Unlock()
	ends := signpost.turns.Now().Add(signpostSearch)
	asked := map[string]bool{}
	for signpost.turns.Alive() {
		address := signpost.next(asked)
		left := ends.Sub(signpost.turns.Now())
		if address == "" || left <= 0 {
			break
		}
		asked[address] = true
		var hello replication.Hello
		// A hello from nobody is answered, and leaves no trace.
		if err := Call(signpost.line, address, HelloPath, replication.Hello{}, &hello, min(signpostPatience, left)); err == nil && signpost.learn(address, hello) {
			return address
		}
	}
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	signpost.leader = ""
	return ""
}

// next is the address to be asked now: who led last, then those of the newest charter,
// then the seeds.
func (signpost *Signpost) next(asked map[string]bool) string {
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	candidates := []string{signpost.leader, signpost.charter.Primary.Address}
	for _, replica := range signpost.charter.Electors() {
		candidates = append(candidates, replica.Address)
	}
	for _, address := range append(candidates, signpost.seeds...) {
		if address != "" && !asked[address] {
			return address
		}
	}
	return ""
}

// learn takes an answer and tells whether its giver leads.
func (signpost *Signpost) learn(address string, hello replication.Hello) bool {
	signpost.mutex.Lock()
	defer signpost.mutex.Unlock()
	if hello.Charter.Epoch > signpost.charter.Epoch {
		signpost.charter = hello.Charter
	}
	if hello.Leads {
		signpost.leader, signpost.asked = address, signpost.turns.Now()
	}
	return hello.Leads
}
