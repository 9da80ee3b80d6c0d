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

// counted counts the bytes of the answers that it passes on.
type counted struct {
	bytes   int
	without bool
}

func (c *counted) RoundTrip(outbound *http.Request) (*http.Response, error) {
	if c.without {
		outbound.Header.Del("Accept-Encoding")
	}
	inbound, err := (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(outbound)
	if err != nil {
		return nil, err
	}
	content, err := io.ReadAll(inbound.Body)
	_ = inbound.Body.Close()
	c.bytes = len(content)
	inbound.Body = io.NopCloser(bytes.NewReader(content))
	return inbound, err
}

func TestLongMessagesTravelPacked(t *testing.T) {
	asked := 0
	answerer := Handler(func(body []byte) ([]byte, error) {
		if string(body) == "refuse" {
			return nil, failure.New(failure.Busy, strings.Repeat("busy ", 1000))
		}
		return body, nil
	})
	older := false
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, inbound *http.Request) {
		asked = int(inbound.ContentLength)
		if !older {
			answerer.ServeHTTP(writer, inbound)
			return
		}
		// An older release neither packs nor says that it could.
		body, _ := io.ReadAll(inbound.Body)
		if inbound.Header.Get("Content-Encoding") != "" {
			body, _ = msgpack.Marshal(failure.New(failure.Garbage, "no question"))
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
	counting := &counted{}
	caller := &Caller{client: &http.Client{Transport: counting}}
	call := func(name string, body []byte, askedPacked, answeredPacked bool) {
		t.Helper()
		answer, err := caller.CallRaw(context.Background(), address, "/", body, 5*time.Second)
		if err != nil || !bytes.Equal(answer, body) {
			t.Errorf("%s: %d bytes, %v", name, len(answer), err)
		}
		if packed := asked < len(body); packed != askedPacked {
			t.Errorf("%s: %d bytes were asked of %d", name, asked, len(body))
		}
		if packed := counting.bytes < len(body); packed != answeredPacked {
			t.Errorf("%s: %d bytes were answered of %d", name, counting.bytes, len(body))
		}
	}
	call("the first", long, false, true)
	call("the next", long, true, true)
	call("short", []byte("a route"), false, false)
	call("nothing", nil, false, false)
	counting.without = true
	call("from an older release", long, true, false)
	counting.without = false
	older = true
	if _, err := caller.CallRaw(context.Background(), address, "/", long, 5*time.Second); failure.CodeOf(err) != failure.Garbage {
		t.Errorf("restarted into an older release: %v", err)
	}
	call("to an older release", long, false, false)
	older = false
	call("upgraded again", long, false, true)
	call("and the next", long, true, true)
	if _, err := caller.CallRaw(context.Background(), address, "/", []byte("refuse"), 5*time.Second); failure.CodeOf(err) != failure.Busy {
		t.Errorf("a refusal: %v", err)
	}
}

func TestWhatWasNeverPackedIsGarbage(t *testing.T) {
	header := http.Header{"Content-Encoding": {encodingS2}}
	for _, answer := range [][]byte{nil, []byte("no packing"), {0xff, 0xff, 0xff, 0xff, 0x0f}} {
		if _, err := decompress(answer, header); err == nil {
			t.Errorf("%q was unpacked", answer)
		}
	}
}
