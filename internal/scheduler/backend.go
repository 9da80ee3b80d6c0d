package scheduler

import (
	"slices"
	"time"

	"seamloom.example/seamloom/internal/membership"
)

// backend is a listed model server as this router sees it. It is replaced with each
// list; its account goes on as long as the server has the same name and address.
type backend struct {
	server    membership.Server
	key       uint64
	zoneIndex int
	// group names the servers whose counts one router keeps.
	backlogGroup string
	*serverState
}

// The parts that a listed server may have.
const (
	prefill = "prefill"
	decode  = "decode"
)

// part is what the server does now, by the latest word of it.
func (b *backend) role() string {
	if h := b.lastLoad.Load(); h != nil && h.load.Role != "" {
		return h.load.Role
	}
	return b.server.Part
}

// changing tells that the server changes its part and begins nothing.
func (b *backend) changingRole() bool {
	h := b.lastLoad.Load()
	return h != nil && h.load.ChangingRole
}

// roleChangePending tells that the server was ordered to take another part and may begin nothing,
// though no report shows it yet.
func (b *backend) roleChangePending(now time.Time) bool {
	due := b.orderedRole.Load()
	return due != nil && now.UnixNano() < b.orderedRoleUntil.Load() && *due != b.role()
}

func (b *backend) prefills() bool    { return b.role() == prefill }
func (b *backend) generates() bool   { return b.role() != prefill }
func (b *backend) decodesOnly() bool { return b.role() == decode }

// has tells whether the server has the weights.
func (b *backend) hasModel(model string) bool {
	return model == "" || len(b.server.Models) == 0 || slices.Contains(b.server.Models, model)
}

// silent tells whether the server reports no more while others do.
func (b *backend) stale(latest int64) bool {
	h := b.lastLoad.Load()
	return h != nil && latest-h.at.UnixNano() > int64(staleAfter)
}

// silence is how much older than the latest report a server's own may be. The value is
// ours.
const staleAfter = 1200 * time.Millisecond

// cold tells whether the server is still cold.
func (b *backend) warming(now time.Time) bool { return now.UnixNano() < b.warmingUntil.Load() }
