package replay

import (
	"strconv"
	"strings"
	"time"
)

// part is one part of a prompt.
type part struct {
	id     string
	tokens int
}

// readChain reads the parts of a prompt as a request names them.
func readChain(text string) ([]part, bool) {
	if text == "" {
		return nil, true
	}
	var chain []part
	for _, one := range strings.Split(text, ",") {
		id, tokens, found := strings.Cut(one, ":")
		count, err := strconv.Atoi(tokens)
		if !found || err != nil || count < 0 {
			return nil, false
		}
		chain = append(chain, part{id: id, tokens: count})
	}
	return chain, true
}

// phase is how far a server is with a request.
type phase int

const (
	waiting phase = iota
	reading
	making
	over
)

// work is one request at an engine.
type work struct {
	// onlyRead: the prompt is read and waits under a handle.
	onlyRead bool
	// fetched: the prompt's memory is moved here and isn't read again.
	fetched   bool
	model     string
	chain     []part
	most      int
	made      int
	urgency   int
	arrived   time.Time
	notBefore time.Time
	ends      time.Time
	// begun: the first token was made.
	begun bool
	left  int
	held  []*prefixPart
	own   int
	stage phase
	// started is called when the first token is made.
	started func()
	// ending says why the engine gave the request up, when it did.
	ending string
}
