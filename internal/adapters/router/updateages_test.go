package router

import (
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
)

// TestUpdateAgesAreRecordedByKind guards against a histogram that mixes kinds of updates, in which late server
// lists could not be distinguished from late loads.
func TestUpdateAgesAreRecordedByKind(t *testing.T) {
	ages := newUpdateAges()
	ages.observe(dataplane.ServersUpdated, 4500*time.Millisecond)
	ages.observe(dataplane.LoadsUpdated, 80*time.Millisecond)
	var written strings.Builder
	ages.write(&written)
	for _, line := range []string{
		`seamloom_update_age_seconds_bucket{kind="servers",le="4"} 0`,
		`seamloom_update_age_seconds_bucket{kind="servers",le="5"} 1`,
		`seamloom_update_age_seconds_bucket{kind="loads",le="0.1"} 1`,
		`seamloom_update_age_seconds_count{kind="configuration"} 0`,
	} {
		if !strings.Contains(written.String(), line+"\n") {
			t.Errorf("the line %s is missing from\n%s", line, written.String())
		}
	}
}
