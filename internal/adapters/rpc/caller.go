// Package rpc carries msgpack messages over HTTP between seamloom's own
// processes. Each message has a checksum and a bounded size.
package rpc

import (
	"bytes"
	"context"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"seamloom.example/seamloom/internal/failure"
)

// MostBytes is the largest message. It leaves room for the largest
// configuration, in a snapshot with all the rest.
const MostBytes = 64 << 20

const checksumHeader = "Seamloom-Checksum"

// Caller calls other processes.
type Caller struct {
	client *http.Client
	takers takers
}

// NewCaller makes a caller. Detours replace addresses when dialling: the
// test's relays stand there.
func NewCaller(detours map[string]string) *Caller {
	return &Caller{client: NewClient(Transport(detours))}
}

// NewClient makes the HTTP client for calls between processes and to model servers. It
// sends nothing twice: a redirection is an answer like any other, and the transport sends
// a POST again only when nothing of it was written.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Transport is a plain HTTP/1.1 transport that follows the detours.
func Transport(detours map[string]string) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(lifetime context.Context, network, address string) (net.Conn, error) {
			if detour, found := detours[address]; found {
				address = detour
			}
			return dialer.DialContext(lifetime, network, address)
		},
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

// CallRaw sends an encoded message and returns the encoded answer, as relays
// do for others.
func (c *Caller) CallRaw(lifetime context.Context, address, path string, body []byte, patience time.Duration) ([]byte, error) {
	lifetime, end := context.WithTimeout(lifetime, patience)
	defer end()
	header := http.Header{"Content-Type": {"application/msgpack"}, "Accept-Encoding": {packing}, "User-Agent": nil}
	if len(body) >= leastPacked && c.takers.has(address) {
		body = packInto(body, header)
	}
	outbound, err := http.NewRequestWithContext(lifetime, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	outbound.Header = header
	outbound.Header.Set(checksumHeader, checksum(body))
	inbound, err := c.client.Do(outbound)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(inbound.Body, MostBytes+1))
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	c.takers.note(address, inbound.Header)
	if len(answer) > MostBytes {
		return nil, failure.New(failure.Oversize, "an answer of more than the largest size")
	}
	if inbound.Header.Get(checksumHeader) != checksum(answer) {
		return nil, failure.New(failure.Garbage, "the answer's checksum is wrong")
	}
	if answer, err = unpack(answer, inbound.Header); err != nil {
		return nil, err
	}
	if inbound.StatusCode == http.StatusOK {
		return answer, nil
	}
	said := &failure.Error{}
	if msgpack.Unmarshal(answer, said) != nil || said.Code == "" {
		return nil, failure.New(failure.Unreachable, "status "+strconv.Itoa(inbound.StatusCode))
	}
	return nil, said
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.Checksum(body, castagnoli)), 16)
}

// Line is a caller for as long as one process lives.
type Line struct {
	Caller   *Caller
	Lifetime context.Context
}

// CallRaw sends an encoded message and returns the encoded answer.
func (l Line) CallRaw(address, path string, body []byte, patience time.Duration) ([]byte, error) {
	return l.Caller.CallRaw(l.Lifetime, address, path, body, patience)
}
