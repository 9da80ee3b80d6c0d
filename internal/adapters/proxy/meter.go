package proxy

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"seamloom.example/seamloom/internal/scheduler"
)

// meter holds the metrics of calls and dispatches. A router without calls spends no time on them.
type meter struct {
	set             *metrics.Set
	endings         map[ending]*metrics.Counter
	dispatches      map[scheduler.DecisionKind]map[scheduler.Result]*metrics.Counter
	bodyEnds        map[bodyEnd]*metrics.Counter
	stalls          map[stallEnd]*metrics.Counter
	givenUp         map[scheduler.Reason]*metrics.Counter
	timeToFirstByte *metrics.PrometheusHistogram
	duration        *metrics.PrometheusHistogram
}

// ending is how a call ended for its client: one of the constants below, or the cause of a
// refusal. The text is the value of a metric label.
type ending string

const (
	endServed           ending = "served"
	endForwardedFailure ending = "through"
	endInterrupted      ending = "cut"
	endClientGone       ending = "left"
	endOversize         ending = "oversize"
	endMalformed        ending = "malformed"
	// endConnectionClosing is a call that was refused because its connection was closing.
	endConnectionClosing ending = "dismissed"
	// The two ways in which a call is unauthenticated: without a key, or with a key that the
	// current configuration does not have.
	endKeyMissing ending = "key_missing"
	endKeyUnknown ending = "key_unknown"
)

// endingOf returns the ending under which a refused call is counted.
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

// newMeter registers all metrics, so that each is exported with the value zero before it is first counted.
func newMeter(pool *Pool) *meter {
	set := metrics.NewSet()
	m := &meter{set: set, endings: map[ending]*metrics.Counter{},
		dispatches:      map[scheduler.DecisionKind]map[scheduler.Result]*metrics.Counter{},
		timeToFirstByte: set.NewPrometheusHistogramExt("seamloom_call_first_seconds", latencyBuckets),
		duration:        set.NewPrometheusHistogramExt("seamloom_call_seconds", latencyBuckets)}
	for _, end := range []ending{endServed, endForwardedFailure, endInterrupted, endClientGone, endOversize, endMalformed,
		endConnectionClosing, ending(scheduler.NoRoute), endKeyMissing, endKeyUnknown, ending(scheduler.OverLimit),
		ending(scheduler.NotReady), ending(scheduler.Saturated), ending(scheduler.Draining), ending(scheduler.DeadlinePassed),
		ending(scheduler.OutcomeUnknown), ending(scheduler.OutcomeUnknownLate)} {
		m.endings[end] = set.NewCounter(`seamloom_calls_total{ending="` + string(end) + `"}`)
	}
	for _, kind := range []scheduler.DecisionKind{scheduler.Prefill, scheduler.Generate} {
		m.dispatches[kind] = map[scheduler.Result]*metrics.Counter{}
		for _, result := range []scheduler.Result{scheduler.Unreachable, scheduler.NotStarted, scheduler.Misdirected,
			scheduler.TimedOut, scheduler.Malformed, scheduler.ErrorResponse, scheduler.Interrupted, scheduler.Complete,
			scheduler.ClientGone, scheduler.Superseded} {
			m.dispatches[kind][result] = set.NewCounter(
				`seamloom_call_dispatches_total{kind="` + string(kind) + `",result="` + string(result) + `"}`)
		}
	}
	m.bodyEnds = map[bodyEnd]*metrics.Counter{}
	for _, end := range []bodyEnd{bodyFramed, bodyClosed, bodyTruncated, bodyBroken} {
		m.bodyEnds[end] = set.NewCounter(`seamloom_call_body_ends_total{end="` + string(end) + `"}`)
	}
	m.stalls = map[stallEnd]*metrics.Counter{}
	for _, end := range []stallEnd{stallTakenOver, stallContinued, stallEnded} {
		m.stalls[end] = set.NewCounter(`seamloom_call_streams_stalled_total{end="` + string(end) + `"}`)
	}
	m.givenUp = map[scheduler.Reason]*metrics.Counter{}
	for _, reason := range []scheduler.Reason{scheduler.NoCapacity, scheduler.AttemptsUsed, scheduler.BudgetUsed,
		scheduler.MayHaveRun, scheduler.TooCostly, scheduler.DeadlineReached} {
		m.givenUp[reason] = set.NewCounter(`seamloom_calls_given_up_total{reason="` + string(reason) + `"}`)
	}
	set.NewGauge("seamloom_call_circuits_opened_total", func() float64 { return float64(pool.Opened()) })
	return m
}

// ended counts a call by its ending, and records the duration of a call that was served.
func (m *meter) ended(result ending, elapsed time.Duration) {
	if counter, found := m.endings[result]; found {
		counter.Inc()
	}
	if result == endServed {
		m.duration.Update(elapsed.Seconds())
	}
}

// dispatched counts a dispatch by its kind and result.
func (m *meter) dispatched(kind scheduler.DecisionKind, result scheduler.Result) {
	if counter, found := m.dispatches[kind][result]; found {
		counter.Inc()
	}
}

// WriteMetrics writes the metrics in the text format of Prometheus.
func (h *Handler) WriteMetrics(target io.Writer) { h.meter.set.WritePrometheus(target) }
