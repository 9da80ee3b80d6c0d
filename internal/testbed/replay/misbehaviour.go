package replay

import "math/rand/v2"

// misbehaviour is how a model server misbehaves.
type misbehaviour struct {
	// silent means that the server responds to nothing, handlesExpire that its handles expire at
	// once. KV cache transfers take transferSlowdown times as long.
	silent           bool
	handlesExpire    bool
	transferSlowdown float64
	// corruptShare is the share of responses that are cut off or malformed, lostShare the share that
	// is dropped when complete. If duplicates is set, half of the corrupt responses are complete, but
	// are sent again in place of the next response.
	corruptShare float64
	lostShare    float64
	duplicates   bool
	// closeDelimited means that responses have neither a length nor chunks and end with their connection. Of
	// these, the streams that are cut off end within an event.
	closeDelimited bool
	// failShare is the share of requests that the server fails with status 500. If healthInverted is
	// set, the server's health responses are the opposite of the truth.
	failShare      float64
	healthInverted bool
}

// answerFault is the fault of one response.
type answerFault int

const (
	answerIntact answerFault = iota
	answerCutOff
	answerMalformed
	answerDuplicated
	answerLost
	answerFailed
)

// drawFault draws the fault of a response.
func (m misbehaviour) drawFault(random *rand.Rand) answerFault {
	draw := random.Float64()
	switch {
	case draw < m.lostShare:
		return answerLost
	case draw < m.lostShare+m.corruptShare:
		if m.duplicates && random.IntN(2) == 0 {
			return answerDuplicated
		}
		if m.closeDelimited {
			return answerCutOff
		}
		return []answerFault{answerCutOff, answerMalformed}[random.IntN(2)]
	case draw < m.lostShare+m.corruptShare+m.failShare:
		return answerFailed
	}
	return answerIntact
}
