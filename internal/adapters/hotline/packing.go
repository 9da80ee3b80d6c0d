package hotline

import (
	"net/http"
	"strings"

	"github.com/klauspost/compress/s2"

	"seamloom.example/seamloom/internal/trouble"
)

const (
	packing = "s2"
	// leastPacked is the size from which an answer is worth packing.
	leastPacked = 1 << 10
)

// pack makes an answer smaller for a caller that takes it so: a configuration of many
// routes goes to every courier, over links that carry their calls as well.
func pack(answer []byte, inbound *http.Request, header http.Header) []byte {
	if len(answer) < leastPacked || !strings.Contains(inbound.Header.Get("Accept-Encoding"), packing) {
		return answer
	}
	packed := s2.Encode(nil, answer)
	if len(packed) > len(answer)/8*7 {
		return answer
	}
	header.Set("Content-Encoding", packing)
	return packed
}

// unpack gives back the answer that was packed, if it was.
func unpack(answer []byte, header http.Header) ([]byte, error) {
	if header.Get("Content-Encoding") != packing {
		return answer, nil
	}
	size, failure := s2.DecodedLen(answer)
	if failure != nil {
		return nil, trouble.Wrap(trouble.Garbage, failure)
	}
	if size > MostBytes {
		return nil, trouble.New(trouble.Oversize, "an answer of more than the largest size")
	}
	unpacked, failure := s2.Decode(nil, answer)
	return unpacked, trouble.Wrap(trouble.Garbage, failure)
}
