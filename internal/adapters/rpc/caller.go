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

// MaxMessageBytes is the largest message. It leaves room for the largest
// configuration, in a snapshot with all the rest.
const MaxMessageBytes = 64 << 20

const checksumHeader = "Seamloom-Checksum"

// Caller calls other processes.
type Caller struct {
	client      *http.Client
	compression compressionPeers
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

// CallRaw sends an encoded message and returns the encoded answer, as relays
// do for others.
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, MaxMessageBytes+1))
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	c.compression.record(address, response.Header)
	if len(answer) > MaxMessageBytes {
		return nil, failure.New(failure.Oversize, "an answer of more than the largest size")
	}
	if response.Header.Get(checksumHeader) != checksum(answer) {
		return nil, failure.New(failure.Garbage, "the answer's checksum is wrong")
	}
	if answer, err = decompress(answer, response.Header); err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return answer, nil
	}
	remote := &failure.Error{}
	if msgpack.Unmarshal(answer, remote) != nil || remote.Code == "" {
		return nil, failure.New(failure.Unreachable, "status "+strconv.Itoa(response.StatusCode))
	}
	return nil, remote
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.Checksum(body, castagnoli)), 16)
}

// Client is a caller for as long as one process lives.
type Client struct {
	Caller  *Caller
	Context context.Context
}

// CallRaw sends an encoded message and returns the encoded answer.
func (l Client) CallRaw(address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	return l.Caller.CallRaw(l.Context, address, path, body, timeout)
}
