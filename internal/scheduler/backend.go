package scheduler

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backend is a listed model server as this courier sees it. It is replaced with each
// list; its account goes on as long as the server has the same name and address.
type backend struct {
	server membership.Server
	key    uint64
	place  int
	// group names the servers whose counts one router keeps.
	group string
	*account
}

// The parts that a listed server may have.
const (
	prefill = "prefill"
	decode  = "decode"
)

// part is what the server does now, by the latest word of it.
func (backend *backend) part() string {
	if heard := backend.heard.Load(); heard != nil && heard.load.Part != "" {
		return heard.load.Part
	}
	return backend.server.Part
}

// changing tells that the server changes its part and begins nothing.
func (backend *backend) changing() bool {
	heard := backend.heard.Load()
	return heard != nil && heard.load.Changing
}

// expectedToChange tells that the server was ordered to take another part and may begin nothing,
// though no report shows it yet.
func (backend *backend) expectedToChange(now time.Time) bool {
	due := backend.due.Load()
	return due != nil && now.UnixNano() < backend.dueUntil.Load() && *due != backend.part()
}

func (backend *backend) reads() bool  { return backend.part() == prefill }
func (backend *backend) runs() bool   { return backend.part() != prefill }
func (backend *backend) splits() bool { return backend.part() == decode }

// has tells whether the server has the weights.
func (backend *backend) has(model string) bool {
	return model == "" || len(backend.server.Models) == 0 || slices.Contains(backend.server.Models, model)
}

// silent tells whether the server reports no more while others do.
func (backend *backend) silent(latest int64) bool {
	heard := backend.heard.Load()
	return heard != nil && latest-heard.at.UnixNano() > int64(silence)
}

// silence is how much older than the latest report a server's own may be. The value is
// ours.
const silence = 1200 * time.Millisecond

// cold tells whether the server is still cold.
func (backend *backend) cold(now time.Time) bool { return now.UnixNano() < backend.coldUntil.Load() }
