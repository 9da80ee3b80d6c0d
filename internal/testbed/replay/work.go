package replay

import (
	"strconv"
	"strings"
	"time"
)

// promptPart is one part of a prompt. For one model, the prefix cache treats parts with the same ID as
// equal if the parts before them are equal too.
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
	// fetched means that the KV cache is fetched from another server, so that the prompt needs no
	// prefill. It is cleared when the request starts, because a request that is preempted later needs
	// one.
	fetched   bool
	model     string
	chain     []promptPart
	maxTokens int
	// generated counts the tokens of the response, including those that an earlier attempt delivered.
	generated int
	// urgency orders the queue: a request with a smaller value goes first.
	urgency int
	arrived time.Time
	// notBefore is when a fetched KV cache has been transferred; the request does not start earlier.
	notBefore time.Time
	deadline  time.Time
	// tokenGenerated means that this engine has generated a token for the request.
	tokenGenerated bool
	// promptLeft is the number of tokens that are still to be prefilled.
	promptLeft int
	pinned     []*prefixPart
	// reserved is the memory, in tokens, that the request has reserved for generated tokens.
	reserved int
	state    workState
	// onFirstToken is called when the first token is generated.
	onFirstToken func()
	// endCause is the reason why the engine gave up the request; it is empty if the request
	// completed.
	endCause string
}
