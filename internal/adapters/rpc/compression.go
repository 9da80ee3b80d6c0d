package rpc

import (
	"net/http"
	"strings"
	"sync"

	"github.com/klauspost/compress/s2"

	"seamloom.example/seamloom/internal/failure"
)

const (
	encodingS2 = "s2"
	// minCompressed is the size in bytes from which a message is compressed. Most messages
	// of this size contain the same field names and addresses more than once.
	minCompressed = 160
)

// compressResponse compresses a response message if it is long enough and the request's headers accept it, and
// sets the response's headers accordingly.
func compressResponse(message []byte, requestHeader, responseHeader http.Header) []byte {
	if len(message) < minCompressed || !strings.Contains(requestHeader.Get("Accept-Encoding"), encodingS2) {
		return message
	}
	return compress(message, responseHeader)
}

// compress returns the compressed message and sets its Content-Encoding header. A message that would not
// become smaller by at least an eighth is returned unchanged.
func compress(message []byte, header http.Header) []byte {
	compressed := s2.Encode(nil, message)
	if len(compressed) > len(message)/8*7 {
		return message
	}
	header.Set("Content-Encoding", encodingS2)
	return compressed
}

// decompress returns the original message, given the headers that it was sent with. An error has the code
// Garbage or Oversize.
func decompress(message []byte, header http.Header) ([]byte, error) {
	if header.Get("Content-Encoding") != encodingS2 {
		return message, nil
	}
	size, err := s2.DecodedLen(message)
	if err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	if size > MaxMessageBytes {
		return nil, failure.New(failure.Oversize, "the decompressed message exceeds the maximum message size")
	}
	decompressed, err := s2.Decode(nil, message)
	return decompressed, failure.Wrap(failure.Garbage, err)
}

// compressionPeers records the addresses whose last response advertised that they accept compressed
// requests. If a process is restarted with an older release, its responses no longer advertise this, and the
// first of them removes the address.
type compressionPeers struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// maxCompressionPeers limits the number of recorded addresses. If an address is to be added or removed when
// the limit is reached, all recorded addresses are dropped first, and the next request to each of them is sent
// uncompressed.
const maxCompressionPeers = 4096

// has reports whether the last response from the address advertised that it accepts compressed requests.
func (c *compressionPeers) has(address string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.addresses[address]
}

// record stores whether the headers of a response from the address advertise that it accepts compressed requests.
func (c *compressionPeers) record(address string, responseHeader http.Header) {
	accepts := strings.Contains(responseHeader.Get("Accept-Encoding"), encodingS2)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.addresses[address] == accepts {
		return
	}
	if c.addresses == nil || len(c.addresses) >= maxCompressionPeers {
		c.addresses = map[string]bool{}
	}
	if accepts {
		c.addresses[address] = true
	} else {
		delete(c.addresses, address)
	}
}
