package controlplane

import (
	"time"

	"seamloom.example/seamloom/internal/replication"
)

const (
	// waitNoticeTime is how long a controller waits for a core before it logs the reason for the wait.
	// The formation of a core normally takes about this long.
	waitNoticeTime = 2 * time.Second
	// waitNoticeInterval is the time between two such log entries while the reason stays the same.
	waitNoticeInterval = 30 * time.Second
)

// joinNotices limits how often a controller logs why it waits for a core. Only tick uses it, so it
// has no mutex.
type joinNotices struct {
	waitingSince time.Time
	noticedAt    time.Time
	noticed      replication.CoreWait
}

// due reports whether the wait must be logged now, and records that it is.
func (j *joinNotices) due(wait replication.CoreWait, now time.Time) bool {
	if wait == replication.CoreKnown {
		*j = joinNotices{}
		return false
	}
	if j.waitingSince.IsZero() {
		j.waitingSince = now
	}
	if now.Sub(j.waitingSince) < waitNoticeTime || wait == j.noticed && now.Sub(j.noticedAt) < waitNoticeInterval {
		return false
	}
	j.noticed, j.noticedAt = wait, now
	return true
}

// noticeWait logs why this controller still waits for a core, if a log entry is due.
func (c *Controller) noticeWait() {
	wait, silent := c.coordinator.WaitingFor()
	if c.joining.due(wait, c.runtime.Now()) {
		c.observe("waiting_for_core", "reason", string(wait), "silent_seeds", silent)
	}
}

// WaitingFor returns why this controller waits for a core, and the seeds that do not respond.
func (c *Controller) WaitingFor() (replication.CoreWait, []string) { return c.coordinator.WaitingFor() }
