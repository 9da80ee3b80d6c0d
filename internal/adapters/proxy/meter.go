package proxy

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"seamloom.example/seamloom/internal/scheduler"
)

// meter counts what becomes of calls. It costs nothing while nothing happens.
type meter struct {
	set         *metrics.Set
	endings     map[ending]*metrics.Counter
	dispatches  map[scheduler.DecisionKind]map[scheduler.Result]*metrics.Counter
	givenUp     map[scheduler.Reason]*metrics.Counter
	timeToFirst *metrics.PrometheusHistogram
	duration    *metrics.PrometheusHistogram
}

// ending is how a call ended for its origin: one of these, or the cause of a refusal.
type ending string

const (
	endServed           ending = "served"
	endForwardedFailure ending = "through"
	endCut              ending = "cut"
	endClientGone       ending = "left"
	endOversize         ending = "oversize"
	endMalformed        ending = "malformed"
	// dismissed is a call that crossed the end of its connection.
	endDismissed ending = "dismissed"
	// The two ways in which a call is unauthenticated: it shows no key, or one that the
	// configuration in force does not hold.
	endKeyMissing ending = "key_missing"
	endKeyUnknown ending = "key_unknown"
)

// endingOf is how a refused call is counted.
func endingOf(cause scheduler.Cause, call *scheduler.Call) ending {
	switch {
	case cause != scheduler.Unauthenticated:
		return ending(cause)
	case call.Key == "":
		return endKeyMissing
	}
	return endKeyUnknown
}

// latencyBuckets are the upper bounds of the latency histograms, in seconds.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8, 15}

func newMeter(connections *Pool) *meter {
	set := metrics.NewSet()
	m := &meter{set: set, endings: map[ending]*metrics.Counter{}, dispatches: map[scheduler.DecisionKind]map[scheduler.Result]*metrics.Counter{},
		timeToFirst: set.NewPrometheusHistogramExt("seamloom_call_first_seconds", latencyBuckets), duration: set.NewPrometheusHistogramExt("seamloom_call_seconds", latencyBuckets)}
	for _, how := range []ending{endServed, endForwardedFailure, endCut, endClientGone, endOversize, endMalformed, endDismissed, ending(scheduler.NoRoute), endKeyMissing, endKeyUnknown, ending(scheduler.OverLimit), ending(scheduler.NotReady), ending(scheduler.Saturated),
		ending(scheduler.Draining), ending(scheduler.DeadlinePassed), ending(scheduler.OutcomeUnknown), ending(scheduler.OutcomeUnknownLate)} {
		m.endings[how] = set.NewCounter(`seamloom_calls_total{ending="` + string(how) + `"}`)
	}
	for _, kind := range []scheduler.DecisionKind{scheduler.Prefill, scheduler.Generate} {
		m.dispatches[kind] = map[scheduler.Result]*metrics.Counter{}
		for _, result := range []scheduler.Result{scheduler.Unreachable, scheduler.NotStarted, scheduler.Misdirected, scheduler.TimedOut, scheduler.Malformed, scheduler.ErrorResponse, scheduler.Interrupted, scheduler.Complete, scheduler.ClientGone} {
			m.dispatches[kind][result] = set.NewCounter(`seamloom_call_dispatches_total{kind="` + string(kind) + `",result="` + string(result) + `"}`)
		}
	}
	m.givenUp = map[scheduler.Reason]*metrics.Counter{}
	for _, reason := range []scheduler.Reason{scheduler.NoCapacity, scheduler.AttemptsUsed, scheduler.BudgetUsed, scheduler.MayHaveRun, scheduler.TooCostly, scheduler.DeadlineReached} {
		m.givenUp[reason] = set.NewCounter(`seamloom_calls_given_up_total{reason="` + string(reason) + `"}`)
	}
	set.NewGauge("seamloom_call_circuits_opened_total", func() float64 { return float64(connections.Opened()) })
	return m
}

// ended notes the end of a call and how long it took.
func (m *meter) ended(how ending, took time.Duration) {
	if counter, found := m.endings[how]; found {
		counter.Inc()
	}
	if how == endServed {
		m.duration.Update(took.Seconds())
	}
}

// dispatched notes how a dispatch ended.
func (m *meter) dispatched(kind scheduler.DecisionKind, result scheduler.Result) {
	if counter, found := m.dispatches[kind][result]; found {
		counter.Inc()
	}
}

// WriteMetrics writes what was counted in the text format of Prometheus.
func (i *Handler) WriteMetrics(target io.Writer) { i.meter.set.WritePrometheus(target) }
