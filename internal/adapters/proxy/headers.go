package proxy

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"seamloom.example/seamloom/internal/scheduler"
)

// hopByHop lists the headers that apply to a single connection and are never forwarded.
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// copyEndToEnd copies the end-to-end headers. It omits Content-Length, which the writer of the body
// sets, and the headers that the Connection header lists, except the protected ones.
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
		// A nil value keeps net/http from guessing the content type.
		target["Content-Type"] = nil
	}
}

// isProtected reports whether protected contains the header, which is then forwarded even if the Connection
// header lists it.
func isProtected(name string, protected []string) bool {
	for _, candidate := range protected {
		if candidate == name {
			return true
		}
	}
	return false
}

// The limits on the values in a call's headers: a list of more than maxSegments segments counts as malformed, and a
// count above maxTokenCount is reduced to it.
const (
	maxSegments   = 64
	maxTokenCount = 1 << 30
)

// readSegments reads the list of a prompt's segments: ID:TOKENS entries separated by commas, with the
// IDs in hexadecimal. A malformed list counts as absent: the list is only a hint as to which servers
// have the prompt in their prefix cache.
func readSegments(text string) []scheduler.Segment {
	if text == "" {
		return nil
	}
	segments := make([]scheduler.Segment, 0, 1+min(maxSegments, strings.Count(text, ",")))
	for more := true; more; {
		var entry string
		entry, text, more = strings.Cut(text, ",")
		id, tokens, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found || len(segments) == maxSegments {
			return nil
		}
		number, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			if id == "" {
				return nil
			}
			// An ID that is no 64-bit hex number still identifies a segment: its hash is used.
			digest := fnv.New64a()
			_, _ = digest.Write([]byte(id))
			number = digest.Sum64()
		}
		count, err := readCount(tokens)
		if err != nil {
			return nil
		}
		segments = append(segments, scheduler.Segment{ID: number, Tokens: count})
	}
	return segments
}

// readTokens reads the number of prompt tokens and the maximum number of output tokens, separated by a
// comma. A malformed number counts as zero, and so does an output count after a malformed prompt count.
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

// readCount reads a decimal number, and caps it at maxTokenCount. It fails if the number does not fit in 31 bits.
func readCount(text string) (int, error) {
	count, err := strconv.ParseUint(strings.TrimSpace(text), 10, 31)
	return int(min(count, maxTokenCount)), err
}

// readLoad reads a server's load: the numbers of running calls, waiting calls and slots, separated by
// commas. It returns nil if the text is malformed.
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
