package router

import (
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/dataplane"
)

// TestLateListsAreToldFromLateLoads wants the ages of each kind of update in a histogram of its own.
func TestLateListsAreToldFromLateLoads(t *testing.T) {
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
			t.Errorf("%s is not among\n%s", line, written.String())
		}
	}
}
