package fleet

import "time"

// ServerPlan is how a stand-in server behaves.
type ServerPlan struct {
	Name           string
	Zone           string
	PrefillRate    int
	PrefillQueue   int
	DecodeSlots    int
	ChunkTime      time.Duration
	Memory         int
	LinkRate       int
	HandleLifetime time.Duration
	WarmupTime     time.Duration
	Prefixes       int
}

// DefaultPlan is a server of middling speed.
func DefaultPlan(name, zone string) ServerPlan {
	return ServerPlan{Name: name, Zone: zone, PrefillRate: 20_000, PrefillQueue: 12, DecodeSlots: 16, ChunkTime: 8 * time.Millisecond,
		Memory: 200_000, LinkRate: 400_000, HandleLifetime: 5 * time.Second, WarmupTime: 4 * time.Second, Prefixes: 8}
}
