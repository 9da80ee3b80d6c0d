package proxy

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"seamloom.example/seamloom/internal/scheduler"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// copyEndToEnd copies the headers that are not one connection's own, and leaves the
// content's length to who writes the body.
func copyEndToEnd(target, source http.Header, protected ...string) {
	for name, values := range source {
		if !hopByHop[name] && name != "Content-Length" {
			target[name] = values
		}
	}
	for _, listed := range source["Connection"] {
		for name := range strings.SplitSeq(listed, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !isProtected(name, protected) {
				delete(target, name)
			}
		}
	}
	if _, found := target["Content-Type"]; !found {
		// Nothing is to be guessed.
		target["Content-Type"] = nil
	}
}

// isProtected tells whether a header stays even when its connection is said to own it.
func isProtected(name string, protected []string) bool {
	for _, word := range protected {
		if word == name {
			return true
		}
	}
	return false
}

// The bounds of what is read from a call's own figures. The values are ours.
const (
	maxPromptParts = 64
	maxTokenCount  = 1 << 30
)

// readParts reads a prompt's chain: ID:TOKENS with commas between, the ids in hex. A
// chain that can't be read is none: it only says where a prompt is likely to be kept.
func readParts(text string) []scheduler.Segment {
	if text == "" {
		return nil
	}
	parts := make([]scheduler.Segment, 0, 1+min(maxPromptParts, strings.Count(text, ",")))
	for more := true; more; {
		var entry string
		entry, text, more = strings.Cut(text, ",")
		id, tokens, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found || len(parts) == maxPromptParts {
			return nil
		}
		number, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			if id == "" {
				return nil
			}
			// Longer ids, or such in other letters, still are names.
			digest := fnv.New64a()
			_, _ = digest.Write([]byte(id))
			number = digest.Sum64()
		}
		count, err := readCount(tokens)
		if err != nil {
			return nil
		}
		parts = append(parts, scheduler.Segment{ID: number, Tokens: count})
	}
	return parts
}

// readTokens reads the prompt's tokens and the most tokens out.
func readTokens(text string) (prompt, output int) {
	first, second, _ := strings.Cut(text, ",")
	prompt, err := readCount(first)
	if err != nil {
		return 0, 0
	}
	output, err = readCount(second)
	if err != nil {
		return prompt, 0
	}
	return prompt, output
}

func readCount(text string) (int, error) {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
	return int(min(count, maxTokenCount)), err
}

// readLoad reads running, waiting and slots.
func readLoad(text string) *scheduler.ResponseLoad {
	var counts [3]int
	for position := range counts {
		var entry string
		entry, text, _ = strings.Cut(text, ",")
		count, err := readCount(entry)
		if err != nil {
			return nil
		}
		counts[position] = count
	}
	return &scheduler.ResponseLoad{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
}
