package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// Day is one test: a fleet under steady traffic with swings, operators at
// work, faults in a seeded order, and an end-of-day read.
type Day struct {
	Fleet     *Fleet
	Clients   *Clients
	Operators *Operators
	Long      float64
	Short     float64
	random    *rand.Rand
	log       io.Writer
	revision  int
	mutex     sync.Mutex
}

// NewDay prepares a day over a fleet that is ready.
func NewDay(fleet *Fleet, seed uint64, log io.Writer) *Day {
	return &Day{Fleet: fleet, Clients: NewClients(fleet, seed, 0.3), Operators: NewOperators(fleet), Long: 8, Short: 10,
		random: rand.New(rand.NewPCG(seed, 11)), log: log}
}

// Logf notes on the day's log what the test does.
func (d *Day) Logf(format string, values ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, _ = fmt.Fprintf(d.log, time.Now().Format("15:04:05.000 ")+format+"\n", values...)
}

// Open puts the first revision, so that there is a configuration.
func (d *Day) Open() error {
	if Await(15*time.Second, func() bool { return d.NextRevision() }) {
		return nil
	}
	return failure.New(failure.NoPrimary, "the first configuration was not accepted")
}

// NextRevision reads the configuration at any controller and puts the next
// revision over it; it tells whether that was accepted.
func (d *Day) NextRevision() bool {
	node := d.anyController()
	if node == nil {
		return false
	}
	current, err := d.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
	if err != nil || current.Status != http.StatusOK {
		return false
	}
	return d.Operators.PutRevision(node, d.takeRevision(), current).Outcome == "accepted"
}

func (d *Day) takeRevision() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	return d.revision
}

func (d *Day) anyController() *NodeProcess {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := d.Fleet.Running(membership.Controller)
	if len(running) == 0 {
		return nil
	}
	return running[d.random.IntN(len(running))]
}

// Run lets traffic flow for the length of the day, with a swing towards long
// prompts and one towards long answers, revisions every other second, and the
// faults spread evenly.
func (d *Day) Run(lifetime context.Context, length time.Duration, faults []Fault) Verdict {
	lifetime, end := context.WithTimeout(lifetime, length)
	defer end()
	d.Clients.SetRates(d.Long, d.Short)
	var tasks sync.WaitGroup
	tasks.Go(func() { d.Clients.Run(lifetime) })
	tasks.Go(func() { d.look(lifetime) })
	tasks.Go(func() { d.operate(lifetime) })
	tasks.Go(func() { d.swing(lifetime, length) })
	began := time.Now()
	gap := length / time.Duration(len(faults)+1)
	for number, fault := range faults {
		if !sleep(lifetime, time.Until(began.Add(gap*time.Duration(number+1)))) {
			d.Logf("the day was too short for %s", fault.Name)
			break
		}
		d.Logf("fault: %s", fault.Name)
		d.Fleet.Events.Append(Entry{Kind: FaultBegan, Cause: fault.Name})
		fault.Run(lifetime, d)
		d.Logf("over: %s", fault.Name)
	}
	<-lifetime.Done()
	tasks.Wait()
	d.EndOfDayRead()
	return Judge(d.Fleet.Events.Entries())
}

// Close ends the day with a fault under traffic, and lets the checkers see
// whether service returns in time.
func (d *Day) Close(lifetime context.Context, fault Fault) Verdict {
	lifetime, end := context.WithTimeout(lifetime, returnLimit+8*time.Second)
	defer end()
	d.Clients.SetRates(d.Long, d.Short)
	var tasks sync.WaitGroup
	tasks.Go(func() { d.Clients.Run(lifetime) })
	tasks.Go(func() { d.operate(lifetime) })
	d.Fleet.Events.Append(Entry{Kind: ClosingFault, Cause: fault.Name})
	fault.Run(lifetime, d)
	<-lifetime.Done()
	tasks.Wait()
	d.EndOfDayRead()
	return Judge(d.Fleet.Events.Entries())
}

// EndOfDayRead reads the configuration at every controller that answers.
func (d *Day) EndOfDayRead() {
	for _, node := range d.Fleet.Running(membership.Controller) {
		Await(12*time.Second, func() bool {
			_, revision := d.Operators.ReadRevision(node)
			return revision >= 0
		})
	}
}

func (d *Day) look(lifetime context.Context) {
	for sleep(lifetime, 250*time.Millisecond) {
		d.Operators.LookAtRevisions()
	}
}

func (d *Day) operate(lifetime context.Context) {
	for sleep(lifetime, 2*time.Second) {
		d.NextRevision()
		if node := d.anyController(); node != nil {
			d.Operators.ReadRevision(node)
		}
	}
}

func (d *Day) swing(lifetime context.Context, length time.Duration) {
	if !sleep(lifetime, length/4) {
		return
	}
	d.Clients.SetRates(d.Long*1.7, d.Short*0.4)
	if !sleep(lifetime, length/4) {
		return
	}
	d.Clients.SetRates(d.Long*0.3, d.Short*2)
	if !sleep(lifetime, length/4) {
		return
	}
	d.Clients.SetRates(d.Long, d.Short)
}
