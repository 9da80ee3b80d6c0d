package replay

import "math/rand/v2"

// misbehaviour is how a model server misbehaves.
type misbehaviour struct {
	// dark: it is silent. lapses: its handles lapse at once. slowed: moves of memory take
	// so many times as long.
	dark   bool
	lapses bool
	slowed float64
	// spoils and loses are the shares of answers that are broken off or spoilt, and that
	// are lost once they were made; late: a second answer comes in the place of the next.
	spoils float64
	loses  float64
	late   bool
	// fails is the share of requests that it fails with a status of its own, and lies says
	// that its health answers are the reverse of the truth.
	fails float64
	lies  bool
}

// spoiling is what becomes of one answer.
type spoiling int

const (
	unspoilt spoiling = iota
	brokenOff
	garbage
	extraLate
	lost
	failed
)

// draw chooses what becomes of an answer.
func (m misbehaviour) draw(random *rand.Rand) spoiling {
	draw := random.Float64()
	switch {
	case draw < m.loses:
		return lost
	case draw < m.loses+m.spoils:
		if m.late && random.IntN(2) == 0 {
			return extraLate
		}
		return []spoiling{brokenOff, garbage}[random.IntN(2)]
	case draw < m.loses+m.spoils+m.fails:
		return failed
	}
	return unspoilt
}
