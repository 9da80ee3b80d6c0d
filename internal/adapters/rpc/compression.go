package rpc

import (
	"net/http"
	"strings"
	"sync"

	"github.com/klauspost/compress/s2"

	"seamloom.example/seamloom/internal/failure"
)

const (
	packing = "s2"
	// leastPacked is the size from which a message is worth packing: names of fields
	// and seats stand in most messages more than once.
	leastPacked = 160
)

// pack makes a message smaller for a receiver that takes it so, as its header says.
func pack(message []byte, takes, header http.Header) []byte {
	if len(message) < leastPacked || !strings.Contains(takes.Get("Accept-Encoding"), packing) {
		return message
	}
	return packInto(message, header)
}

func packInto(message []byte, header http.Header) []byte {
	packed := s2.Encode(nil, message)
	if len(packed) > len(message)/8*7 {
		return message
	}
	header.Set("Content-Encoding", packing)
	return packed
}

// unpack gives back the message that was packed, if it was.
func unpack(message []byte, header http.Header) ([]byte, error) {
	if header.Get("Content-Encoding") != packing {
		return message, nil
	}
	size, err := s2.DecodedLen(message)
	if err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	if size > MostBytes {
		return nil, failure.New(failure.Oversize, "a message of more than the largest size")
	}
	unpacked, err := s2.Decode(nil, message)
	return unpacked, failure.Wrap(failure.Garbage, err)
}

// takers are the addresses whose last answer said that they take packed questions.
// One that was restarted into an older release does not say so, and is believed at
// once.
type takers struct {
	mutex     sync.Mutex
	addresses map[string]bool
}

// mostTakers bounds the memory: who is forgotten is asked plainly once.
const mostTakers = 4096

func (t *takers) has(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.addresses[address]
}

func (t *takers) note(address string, answer http.Header) {
	takes := strings.Contains(answer.Get("Accept-Encoding"), packing)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.addresses[address] == takes {
		return
	}
	if t.addresses == nil || len(t.addresses) >= mostTakers {
		t.addresses = map[string]bool{}
	}
	if takes {
		t.addresses[address] = true
	} else {
		delete(t.addresses, address)
	}
}
