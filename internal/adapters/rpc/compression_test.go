package rpc

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/failure"
)

// countingTransport counts the bytes of the last response. If withoutEncoding is set, it sends requests like an
// older release, without the header that accepts compressed responses.
type countingTransport struct {
	responseBytes   int
	withoutEncoding bool
}

func (c *countingTransport) RoundTrip(outbound *http.Request) (*http.Response, error) {
	if c.withoutEncoding {
		outbound.Header.Del("Accept-Encoding")
	}
	response, err := (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(outbound)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	c.responseBytes = len(content)
	response.Body = io.NopCloser(bytes.NewReader(content))
	return response, err
}

// TestLongMessagesAreCompressed sends messages between the current release and an older one, which does not
// know compression. The server is restarted with the older release and later upgraded again.
func TestLongMessagesAreCompressed(t *testing.T) {
	requestBytes := 0
	current := Handler(func(body []byte) ([]byte, error) {
		if string(body) == "refuse" {
			return nil, failure.New(failure.Busy, strings.Repeat("busy ", 1000))
		}
		return body, nil
	})
	olderServer := false
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		requestBytes = int(inbound.ContentLength)
		if !olderServer {
			current.ServeHTTP(writer, inbound)
			return
		}
		// An older release neither compresses responses nor advertises that it accepts compressed requests.
		body, _ := io.ReadAll(inbound.Body)
		if inbound.Header.Get("Content-Encoding") != "" {
			body, _ = msgpack.Marshal(failure.New(failure.Garbage, "not a valid message"))
			writer.Header().Set(checksumHeader, checksum(body))
			writer.WriteHeader(http.StatusConflict)
		} else {
			writer.Header().Set(checksumHeader, checksum(body))
		}
		_, _ = writer.Write(body)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	long := bytes.Repeat([]byte("a route and its services,"), 1000)
	transport := &countingTransport{}
	caller := &Caller{client: &http.Client{Transport: transport}}
	call := func(name string, body []byte, wantRequestCompressed, wantResponseCompressed bool) {
		t.Helper()
		response, err := caller.CallRaw(context.Background(), address, "/", body, 5*time.Second)
		if err != nil || !bytes.Equal(response, body) {
			t.Errorf("%s: got a response of %d bytes, error %v, want the request's %d bytes", name, len(response), err, len(body))
		}
		if compressed := requestBytes < len(body); compressed != wantRequestCompressed {
			t.Errorf("%s: the request of %d bytes was sent as %d bytes, want compressed %t", name, len(body), requestBytes, wantRequestCompressed)
		}
		if compressed := transport.responseBytes < len(body); compressed != wantResponseCompressed {
			t.Errorf("%s: the response of %d bytes was sent as %d bytes, want compressed %t",
				name, len(body), transport.responseBytes, wantResponseCompressed)
		}
	}
	call("first request", long, false, true)
	call("next request", long, true, true)
	call("short message", []byte("a route"), false, false)
	call("empty message", nil, false, false)
	transport.withoutEncoding = true
	call("request from an older release", long, true, false)
	transport.withoutEncoding = false
	olderServer = true
	if _, err := caller.CallRaw(context.Background(), address, "/", long, 5*time.Second); failure.CodeOf(err) != failure.Garbage {
		t.Errorf("compressed request to a server restarted with an older release: got error %v, want code %s", err, failure.Garbage)
	}
	call("request to an older release", long, false, false)
	olderServer = false
	call("first request to the upgraded server", long, false, true)
	call("next request to the upgraded server", long, true, true)
	if _, err := caller.CallRaw(context.Background(), address, "/", []byte("refuse"), 5*time.Second); failure.CodeOf(err) != failure.Busy {
		t.Errorf("refused request: got error %v, want code %s", err, failure.Busy)
	}
}

func TestDecompressRejectsInvalidData(t *testing.T) {
	header := http.Header{"Content-Encoding": {encodingS2}}
	for _, message := range [][]byte{nil, []byte("not compressed"), {0xff, 0xff, 0xff, 0xff, 0x0f}} {
		if _, err := decompress(message, header); err == nil {
			t.Errorf("decompress(%q) succeeded, want an error", message)
		}
	}
}
