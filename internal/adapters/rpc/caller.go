// Package rpc sends msgpack messages over HTTP between seamloom's own processes.
// Each message has a checksum and a bounded size.
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

// MaxMessageBytes limits the size of a message. It is large enough for a snapshot
// of the complete state with the largest configuration.
const MaxMessageBytes = 64 << 20

const checksumHeader = "Seamloom-Checksum"

// Caller sends messages to other processes. It is safe for concurrent use.
type Caller struct {
	client      *http.Client
	compression compressionPeers
}

// NewCaller returns a caller that uses Transport with the given detours.
func NewCaller(detours map[string]string) *Caller {
	return &Caller{client: NewClient(Transport(detours))}
}

// NewClient returns an HTTP client for calls between processes and to model servers. The client sends no
// request twice: it returns redirect responses instead of following them, and its transport retries a POST
// only if no byte of it has been written.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// Transport returns a plain HTTP/1.1 transport. Detours map an address to the address that is dialled
// instead of it; tests use them to put faulty relays between processes.
func Transport(detours map[string]string) *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if detour, found := detours[address]; found {
				address = detour
			}
			return dialer.DialContext(ctx, network, address)
		},
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
	}
}

// CallRaw sends an encoded message and returns the encoded response. If the other process refused the message,
// CallRaw returns that process's error. Any other error has the code Unreachable, Garbage or Oversize.
func (c *Caller) CallRaw(ctx context.Context, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	header := http.Header{"Content-Type": {"application/msgpack"}, "Accept-Encoding": {encodingS2}, "User-Agent": nil}
	if len(body) >= minCompressed && c.compression.has(address) {
		body = compress(body, header)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(failure.Garbage, err)
	}
	request.Header = header
	request.Header.Set(checksumHeader, checksum(body))
	response, err := c.client.Do(request)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes+1))
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	c.compression.record(address, response.Header)
	if len(responseBody) > MaxMessageBytes {
		return nil, failure.New(failure.Oversize, "the response exceeds the maximum message size")
	}
	if response.Header.Get(checksumHeader) != checksum(responseBody) {
		return nil, failure.New(failure.Garbage, "the checksum of the response does not match")
	}
	if responseBody, err = decompress(responseBody, response.Header); err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return responseBody, nil
	}
	remote := &failure.Error{}
	if msgpack.Unmarshal(responseBody, remote) != nil || remote.Code == "" {
		return nil, failure.New(failure.Unreachable, "status "+strconv.Itoa(response.StatusCode))
	}
	return nil, remote
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.Checksum(body, castagnoli)), 16)
}

// Client sends messages with a Caller until the process's context ends.
type Client struct {
	Caller  *Caller
	Context context.Context
}

// CallRaw calls Caller.CallRaw with the process's context.
func (c Client) CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	return c.Caller.CallRaw(c.Context, address, path, body, timeout)
}
