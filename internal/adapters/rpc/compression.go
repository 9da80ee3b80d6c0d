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
	// minCompressed is the size from which a message is worth packing: names of fields
	// and seats stand in most messages more than once.
	minCompressed = 160
)

// compressFor makes a message smaller for a receiver that takes it so, as its header says.
func compressFor(message []byte, takes, header http.Header) []byte {
	if len(message) < minCompressed || !strings.Contains(takes.Get("Accept-Encoding"), encodingS2) {
		return message
	}
	return compress(message, header)
}

func compress(message []byte, header http.Header) []byte {
	compressed := s2.Encode(nil, message)
	if len(compressed) > len(message)/8*7 {
		return message
	}
	header.Set("Content-Encoding", encodingS2)
	return compressed
}

// decompress gives back the message that was packed, if it was.
func decompress(message []byte, header http.Header) ([]byte, error) {
	if header.Get("Content-Encoding") != encodingS2 {
		return message, nil
	}
	size, err := s2.DecodedLen(message)
	if err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	if size > MaxMessageBytes {
		return nil, failure.New(failure.Oversize, "a message of more than the largest size")
	}
	decompressed, err := s2.Decode(nil, message)
	return decompressed, failure.Wrap(failure.Garbage, err)
}

// compressionPeers are the addresses whose last answer said that they take packed questions.
// One that was restarted into an older release does not say so, and is believed at
// once.
type compressionPeers struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// maxCompressionPeers bounds the memory: who is forgotten is asked plainly once.
const maxCompressionPeers = 4096

func (t *compressionPeers) has(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.addresses[address]
}

func (t *compressionPeers) record(address string, answer http.Header) {
	takes := strings.Contains(answer.Get("Accept-Encoding"), encodingS2)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.addresses[address] == takes {
		return
	}
	if t.addresses == nil || len(t.addresses) >= maxCompressionPeers {
		t.addresses = map[string]bool{}
	}
	if takes {
		t.addresses[address] = true
	} else {
		delete(t.addresses, address)
	}
}
