package scheduler

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backend is a listed model server as this router sees it. It is replaced with each
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
func (b *backend) part() string {
	if h := b.heard.Load(); h != nil && h.load.Role != "" {
		return h.load.Role
	}
	return b.server.Part
}

// changing tells that the server changes its part and begins nothing.
func (b *backend) changing() bool {
	h := b.heard.Load()
	return h != nil && h.load.ChangingRole
}

// expectedToChange tells that the server was ordered to take another part and may begin nothing,
// though no report shows it yet.
func (b *backend) expectedToChange(now time.Time) bool {
	due := b.due.Load()
	return due != nil && now.UnixNano() < b.dueUntil.Load() && *due != b.part()
}

func (b *backend) reads() bool  { return b.part() == prefill }
func (b *backend) runs() bool   { return b.part() != prefill }
func (b *backend) splits() bool { return b.part() == decode }

// has tells whether the server has the weights.
func (b *backend) has(model string) bool {
	return model == "" || len(b.server.Models) == 0 || slices.Contains(b.server.Models, model)
}

// silent tells whether the server reports no more while others do.
func (b *backend) silent(latest int64) bool {
	h := b.heard.Load()
	return h != nil && latest-h.at.UnixNano() > int64(silence)
}

// silence is how much older than the latest report a server's own may be. The value is
// ours.
const silence = 1200 * time.Millisecond

// cold tells whether the server is still cold.
func (b *backend) cold(now time.Time) bool { return now.UnixNano() < b.coldUntil.Load() }
