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

// Day is one test run of a fleet: traffic whose mix changes, operators who change the
// configuration, faults with seeded random choices, and a final read of the configuration.
type Day struct {
	Fleet     *Fleet
	Clients   *Clients
	Operators *Operators
	// Long and Short are the usual rates of the two kinds of requests, in requests per second.
	Long   float64
	Short  float64
	random *rand.Rand
	log    io.Writer
	// revision is the number that takeRevision returned last.
	revision int
	mutex    sync.Mutex
}

// NewDay prepares a day for a fleet that is ready.
func NewDay(fleet *Fleet, seed uint64, log io.Writer) *Day {
	return &Day{Fleet: fleet, Clients: NewClients(fleet, seed, 0.3), Operators: NewOperators(fleet), Long: 8, Short: 10,
		random: rand.New(rand.NewPCG(seed, 11)), log: log}
}

// Logf writes a line with the time of day to the day's log.
func (d *Day) Logf(format string, values ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_, _ = fmt.Fprintf(d.log, time.Now().Format("15:04:05.000 ")+format+"\n", values...)
}

// Open puts the first revision of the configuration and waits until it is accepted.
func (d *Day) Open() error {
	if Await(15*time.Second, func() bool { return d.NextRevision() }) {
		return nil
	}
	return failure.New(failure.NoPrimary, "the first configuration was not accepted")
}

// NextRevision reads the configuration at a random controller and replaces its revision by
// the next one. It reports whether the change was accepted.
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

// takeRevision returns the next revision number, which no other caller gets.
func (d *Day) takeRevision() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	return d.revision
}

// anyController returns a random running controller, or nil if none is running.
func (d *Day) anyController() *NodeProcess {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := d.Fleet.Running(membership.Controller)
	if len(running) == 0 {
		return nil
	}
	return running[d.random.IntN(len(running))]
}

// Run runs the day for a length of time and returns its verdict. Traffic shifts towards
// long prompts and later towards long answers, a new revision is put every two seconds, and
// the faults are spread evenly over the day.
func (d *Day) Run(lifetime context.Context, length time.Duration, faults []Fault) Verdict {
	lifetime, end := context.WithTimeout(lifetime, length)
	defer end()
	d.Clients.SetRates(d.Long, d.Short)
	var tasks sync.WaitGroup
	tasks.Go(func() { d.Clients.Run(lifetime) })
	tasks.Go(func() { d.pollRevisions(lifetime) })
	tasks.Go(func() { d.runOperators(lifetime) })
	tasks.Go(func() { d.varyTraffic(lifetime, length) })
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
		d.Logf("fault ended: %s", fault.Name)
	}
	<-lifetime.Done()
	tasks.Wait()
	d.EndOfDayRead()
	return CheckEvents(d.Fleet.Events.Entries())
}

// RunClosingFault ends the day with a fault under traffic and returns the verdict, which includes
// whether service returned within its limit.
func (d *Day) RunClosingFault(lifetime context.Context, fault Fault) Verdict {
	lifetime, end := context.WithTimeout(lifetime, returnLimit+8*time.Second)
	defer end()
	d.Clients.SetRates(d.Long, d.Short)
	var tasks sync.WaitGroup
	tasks.Go(func() { d.Clients.Run(lifetime) })
	tasks.Go(func() { d.runOperators(lifetime) })
	d.Fleet.Events.Append(Entry{Kind: ClosingFault, Cause: fault.Name})
	fault.Run(lifetime, d)
	<-lifetime.Done()
	tasks.Wait()
	d.EndOfDayRead()
	return CheckEvents(d.Fleet.Events.Entries())
}

// EndOfDayRead reads the configuration at every running controller, with retries for up to
// 12 seconds each.
func (d *Day) EndOfDayRead() {
	for _, node := range d.Fleet.Running(membership.Controller) {
		Await(12*time.Second, func() bool {
			_, revision := d.Operators.ReadRevision(node)
			return revision >= 0
		})
	}
}

// pollRevisions records four times a second which revision is in force at each router.
func (d *Day) pollRevisions(lifetime context.Context) {
	for sleep(lifetime, 250*time.Millisecond) {
		d.Operators.RecordRevisions()
	}
}

// runOperators puts a new revision and reads the configuration every two seconds.
func (d *Day) runOperators(lifetime context.Context) {
	for sleep(lifetime, 2*time.Second) {
		d.NextRevision()
		if node := d.anyController(); node != nil {
			d.Operators.ReadRevision(node)
		}
	}
}

// varyTraffic shifts the traffic towards long prompts in the second quarter of the day and
// towards long answers in the third.
func (d *Day) varyTraffic(lifetime context.Context, length time.Duration) {
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
