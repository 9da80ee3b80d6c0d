package router

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"seamloom.example/seamloom/internal/dataplane"
)

// ageBuckets are the upper bounds of the buckets of the histograms, in seconds.
var ageBuckets = []float64{0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 4, 5, 8}

// updateAges records the ages of updates in one histogram for each kind of update.
type updateAges struct {
	set        *metrics.Set
	histograms map[dataplane.UpdateKind]*metrics.PrometheusHistogram
}

func newUpdateAges() *updateAges {
	ages := &updateAges{set: metrics.NewSet(), histograms: map[dataplane.UpdateKind]*metrics.PrometheusHistogram{}}
	for _, kind := range dataplane.UpdateKinds {
		ages.histograms[kind] = ages.set.NewPrometheusHistogramExt(`seamloom_update_age_seconds{kind="`+string(kind)+`"}`, ageBuckets)
	}
	return ages
}

func (u *updateAges) observe(kind dataplane.UpdateKind, age time.Duration) {
	u.histograms[kind].Update(age.Seconds())
}

func (u *updateAges) write(target io.Writer) { u.set.WritePrometheus(target) }
