package scheduler

import "time"

// Load is what a model server reported of itself, read for all routers.
type Load struct {
	Server string `json:"server" msgpack:"server"`
	// Role is prefill or decode, or empty for both; ChangingRole that an order is being carried
	// out; Orders how many it took.
	Role         string `json:"part" msgpack:"part"`
	ChangingRole bool   `json:"changing,omitempty" msgpack:"changing,omitempty"`
	Orders       uint64 `json:"orders,omitempty" msgpack:"orders,omitempty"`
	// Waiting and Running are calls; MemoryUsed and MemoryTotal are tokens.
	Waiting     int `json:"waiting" msgpack:"waiting"`
	Running     int `json:"running" msgpack:"running"`
	MemoryUsed  int `json:"memory_used" msgpack:"memory_used"`
	MemoryTotal int `json:"memory_total" msgpack:"memory_total"`
	Handles     int `json:"handles" msgpack:"handles"`
	// Age is how old the report was when it was forwarded.
	Age time.Duration `json:"age" msgpack:"age"`
}

// loadReport is a server's own report.
type loadReport struct {
	load Load
	at   time.Time
}

// observedLoad is the latest that is known of a server's load, from a report or a response.
type observedLoad struct {
	load Load
	at   time.Time
	// others are the calls that are not this router's own, smoothed; waiting are among them.
	others float64
}

// takeReport takes a report, which may be older than what is known from responses.
func (a *serverState) takeReport(now time.Time, load Load) {
	at := now.Add(-load.Age)
	a.lastReport.Store(&loadReport{load: load, at: at})
	earlier := a.lastLoad.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	own := float64(a.prefilling.Load() + a.running.Load())
	next := &observedLoad{
		load:   load,
		at:     at,
		others: max(0, float64(load.Running+load.Waiting)-own),
	}
	if earlier != nil {
		// One report is a moment; what counts is about how much there is.
		next.others = smooth(earlier.others, next.others)
		if next.load.MemoryTotal == 0 {
			next.load.MemoryTotal = earlier.load.MemoryTotal
		}
	}
	a.lastLoad.Store(next)
}

// takeResponseLoad takes what a response said of the server's load. The call itself was among
// those that ran when the response was made.
func (a *serverState) takeResponseLoad(at time.Time, load ResponseLoad) {
	earlier := a.lastLoad.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	next := &observedLoad{at: at}
	if earlier != nil {
		next.load = earlier.load
	}
	next.load.Running, next.load.Waiting = load.Running, load.Waiting
	own := float64(a.prefilling.Load() + a.running.Load() + 1)
	next.others = max(0, float64(load.Running+load.Waiting)-own)
	if earlier != nil {
		next.others = smooth(earlier.others, next.others)
	}
	a.lastLoad.Store(next)
}

// smoothing is the share of the latest value in smooth. The value is ours.
const smoothing = 0.5

func smooth(old, latest float64) float64 { return old + smoothing*(latest-old) }

// otherCalls are the calls there that are not this router's own, as far as is known.
func (a *serverState) otherCalls() float64 {
	if h := a.lastLoad.Load(); h != nil {
		return h.others
	}
	return 0
}
