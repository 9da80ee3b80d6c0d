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

// Say notes on the day's log what the test does.
func (day *Day) Say(format string, values ...any) {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	_, _ = fmt.Fprintf(day.log, time.Now().Format("15:04:05.000 ")+format+"\n", values...)
}

// Open puts the first revision, so that there is a configuration.
func (day *Day) Open() error {
	if Await(15*time.Second, func() bool { return day.NextRevision() }) {
		return nil
	}
	return failure.New(failure.NoPrimary, "the first configuration was not accepted")
}

// NextRevision reads the configuration at any controller and puts the next
// revision over it; it tells whether that was accepted.
func (day *Day) NextRevision() bool {
	node := day.anyController()
	if node == nil {
		return false
	}
	current, err := day.Operators.Call(node, http.MethodGet, "/v1/configuration", nil, "")
	if err != nil || current.Status != http.StatusOK {
		return false
	}
	return day.Operators.PutRevision(node, day.takeRevision(), current).Outcome == "accepted"
}

func (day *Day) takeRevision() int {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	day.revision++
	return day.revision
}

func (day *Day) anyController() *NodeProcess {
	day.mutex.Lock()
	defer day.mutex.Unlock()
	running := day.Fleet.Running(membership.Controller)
	if len(running) == 0 {
		return nil
	}
	return running[day.random.IntN(len(running))]
}

// Run lets traffic flow for the length of the day, with a swing towards long
// prompts and one towards long answers, revisions every other second, and the
// faults spread evenly.
func (day *Day) Run(lifetime context.Context, length time.Duration, faults []Fault) Verdict {
	lifetime, end := context.WithTimeout(lifetime, length)
	defer end()
	day.Clients.SetRates(day.Long, day.Short)
	var tasks sync.WaitGroup
	tasks.Go(func() { day.Clients.Run(lifetime) })
	tasks.Go(func() { day.look(lifetime) })
	tasks.Go(func() { day.operate(lifetime) })
	tasks.Go(func() { day.swing(lifetime, length) })
	began := time.Now()
	gap := length / time.Duration(len(faults)+1)
	for number, fault := range faults {
		if !sleep(lifetime, time.Until(began.Add(gap*time.Duration(number+1)))) {
			day.Say("the day was too short for %s", fault.Name)
			break
		}
		day.Say("fault: %s", fault.Name)
		day.Fleet.Events.Append(Entry{Kind: FaultBegan, Cause: fault.Name})
		fault.Run(lifetime, day)
		day.Say("over: %s", fault.Name)
	}
	<-lifetime.Done()
	tasks.Wait()
	day.EndOfDayRead()
	return Judge(day.Fleet.Events.Entries())
}

// Close ends the day with a fault under traffic, and lets the checkers see
// whether service returns in time.
func (day *Day) Close(lifetime context.Context, fault Fault) Verdict {
	lifetime, end := context.WithTimeout(lifetime, returnLimit+8*time.Second)
	defer end()
	day.Clients.SetRates(day.Long, day.Short)
	var tasks sync.WaitGroup
	tasks.Go(func() { day.Clients.Run(lifetime) })
	tasks.Go(func() { day.operate(lifetime) })
	day.Fleet.Events.Append(Entry{Kind: ClosingFault, Cause: fault.Name})
	fault.Run(lifetime, day)
	<-lifetime.Done()
	tasks.Wait()
	day.EndOfDayRead()
	return Judge(day.Fleet.Events.Entries())
}

// EndOfDayRead reads the configuration at every controller that answers.
func (day *Day) EndOfDayRead() {
	for _, node := range day.Fleet.Running(membership.Controller) {
		Await(12*time.Second, func() bool {
			_, revision := day.Operators.ReadRevision(node)
			return revision >= 0
		})
	}
}

func (day *Day) look(lifetime context.Context) {
	for sleep(lifetime, 250*time.Millisecond) {
		day.Operators.LookAtRevisions()
	}
}

func (day *Day) operate(lifetime context.Context) {
	for sleep(lifetime, 2*time.Second) {
		day.NextRevision()
		if node := day.anyController(); node != nil {
			day.Operators.ReadRevision(node)
		}
	}
}

func (day *Day) swing(lifetime context.Context, length time.Duration) {
	if !sleep(lifetime, length/4) {
		return
	}
	day.Clients.SetRates(day.Long*1.7, day.Short*0.4)
	if !sleep(lifetime, length/4) {
		return
	}
	day.Clients.SetRates(day.Long*0.3, day.Short*2)
	if !sleep(lifetime, length/4) {
		return
	}
	day.Clients.SetRates(day.Long, day.Short)
}
