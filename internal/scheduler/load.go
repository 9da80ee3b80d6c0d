package scheduler

import "time"

// Load is a model server's load report. The primary controller reads each report once, on behalf of
// all routers.
type Load struct {
	Server string `json:"server" msgpack:"server"`
	// Role is prefill or decode, or empty for both. ChangingRole is set while the server carries
	// out an order to change its role. Orders is how many such orders the server has accepted.
	Role         string `json:"part" msgpack:"part"`
	ChangingRole bool   `json:"changing,omitempty" msgpack:"changing,omitempty"`
	Orders       uint64 `json:"orders,omitempty" msgpack:"orders,omitempty"`
	// Waiting and Running are numbers of calls; MemoryUsed and MemoryTotal are in tokens.
	Waiting     int `json:"waiting" msgpack:"waiting"`
	Running     int `json:"running" msgpack:"running"`
	MemoryUsed  int `json:"memory_used" msgpack:"memory_used"`
	MemoryTotal int `json:"memory_total" msgpack:"memory_total"`
	// Handles is the number of KV caches that completed prefills have left at the server.
	Handles int `json:"handles" msgpack:"handles"`
	// Age is how old the report was when it was forwarded.
	Age time.Duration `json:"age" msgpack:"age"`
}

// loadReport is a server's load report with the time at which it was made.
type loadReport struct {
	load Load
	at   time.Time
}

// observedLoad is the latest known load of a server, from a load report or a response.
type observedLoad struct {
	load Load
	at   time.Time
	// others is the smoothed number of running and waiting calls of other routers.
	others float64
}

// applyReport stores a load report. A report that is older than the latest known load doesn't
// replace that load.
func (s *serverState) applyReport(now time.Time, load Load) {
	at := now.Add(-load.Age)
	s.lastReport.Store(&loadReport{load: load, at: at})
	earlier := s.lastLoad.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	own := float64(s.prefilling.Load() + s.running.Load())
	next := &observedLoad{
		load:   load,
		at:     at,
		others: max(0, float64(load.Running+load.Waiting)-own),
	}
	if earlier != nil {
		// One report shows a single moment, so the number of calls is smoothed.
		next.others = smooth(earlier.others, next.others)
		if next.load.MemoryTotal == 0 {
			next.load.MemoryTotal = earlier.load.MemoryTotal
		}
	}
	s.lastLoad.Store(next)
}

// applyResponseLoad stores the load that a response states. The response's call was still running
// when the response was made but is no longer counted as in flight, so one call is added to this
// router's own calls.
func (s *serverState) applyResponseLoad(at time.Time, load ResponseLoad) {
	earlier := s.lastLoad.Load()
	if earlier != nil && at.Before(earlier.at) {
		return
	}
	next := &observedLoad{at: at}
	if earlier != nil {
		next.load = earlier.load
	}
	next.load.Running, next.load.Waiting = load.Running, load.Waiting
	own := float64(s.prefilling.Load() + s.running.Load() + 1)
	next.others = max(0, float64(load.Running+load.Waiting)-own)
	if earlier != nil {
		next.others = smooth(earlier.others, next.others)
	}
	s.lastLoad.Store(next)
}

// smoothing is the weight of the latest value in smooth.
const smoothing = 0.5

// smooth returns the exponentially weighted mean of the old value and the latest one.
func smooth(old, latest float64) float64 { return old + smoothing*(latest-old) }

// otherCalls estimates the number of calls of other routers at the server.
func (s *serverState) otherCalls() float64 {
	if latest := s.lastLoad.Load(); latest != nil {
		return latest.others
	}
	return 0
}
