package replay

import (
	"strconv"
	"strings"
	"time"
)

// promptPart is one part of a prompt.
type promptPart struct {
	id     string
	tokens int
}

// parseChain parses the parts of a prompt from the header of a request: "id:tokens,id:tokens".
func parseChain(text string) ([]promptPart, bool) {
	if text == "" {
		return nil, true
	}
	var chain []promptPart
	for _, element := range strings.Split(text, ",") {
		id, tokens, found := strings.Cut(element, ":")
		count, err := strconv.Atoi(tokens)
		if !found || err != nil || count < 0 {
			return nil, false
		}
		chain = append(chain, promptPart{id: id, tokens: count})
	}
	return chain, true
}

// workState is the state of a request at an engine.
type workState int

const (
	workQueued workState = iota
	workPrefilling
	workDecoding
	workFinished
)

// engineRequest is one request at an engine.
type engineRequest struct {
	// prefillOnly means that the prompt is only prefilled, and its KV cache kept under a handle.
	prefillOnly bool
	// fetched means that the KV cache was fetched from another server, so that the prompt needs no
	// prefill.
	fetched   bool
	model     string
	chain     []promptPart
	maxTokens int
	generated int
	urgency   int
	arrived   time.Time
	notBefore time.Time
	deadline  time.Time
	// tokenGenerated means that the first token was generated.
	tokenGenerated bool
	promptLeft     int
	pinned         []*prefixPart
	reserved       int
	state          workState
	// onFirstToken is called when the first token is generated.
	onFirstToken func()
	// endCause is the reason why the engine gave up the request; it is empty if the request
	// completed.
	endCause string
}
