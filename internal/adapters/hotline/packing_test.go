package hotline

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"seamloom.example/seamloom/internal/trouble"
)

// counted counts the bytes of the answers that it passes on.
type counted struct {
	bytes   int
	without bool
}

func (counting *counted) RoundTrip(outbound *http.Request) (*http.Response, error) {
	if counting.without {
		outbound.Header.Del("Accept-Encoding")
	}
	inbound, failure := (&http.Transport{DisableCompression: true, DisableKeepAlives: true}).RoundTrip(outbound)
	if failure != nil {
		return nil, failure
	}
	content, failure := io.ReadAll(inbound.Body)
	_ = inbound.Body.Close()
	counting.bytes = len(content)
	inbound.Body = io.NopCloser(bytes.NewReader(content))
	return inbound, failure
}

func TestLongAnswersTravelPacked(test *testing.T) {
	server := httptest.NewServer(Answerer(func(body []byte) ([]byte, error) {
		if string(body) == "refuse" {
			return nil, trouble.New(trouble.Busy, strings.Repeat("busy ", 1000))
		}
		return body, nil
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, row := range []struct {
		name    string
		body    []byte
		without bool
		packed  bool
	}{
		{"long", bytes.Repeat([]byte("a route and its services,"), 1000), false, true},
		{"long, to a caller of an older release", bytes.Repeat([]byte("a route and its services,"), 1000), true, false},
		{"short", []byte("a route"), false, false},
		{"nothing", nil, false, false},
	} {
		counting := &counted{without: row.without}
		caller := &Caller{client: &http.Client{Transport: counting}}
		answer, failure := caller.CallRaw(context.Background(), address, "/", row.body, 5*time.Second)
		if failure != nil || !bytes.Equal(answer, row.body) {
			test.Errorf("%s: %d bytes, %v", row.name, len(answer), failure)
		}
		if packed := counting.bytes < len(row.body); packed != row.packed {
			test.Errorf("%s: %d bytes travelled of %d", row.name, counting.bytes, len(row.body))
		}
	}
	caller := &Caller{client: &http.Client{Transport: &counted{}}}
	if _, failure := caller.CallRaw(context.Background(), address, "/", []byte("refuse"), 5*time.Second); trouble.KindOf(failure) != trouble.Busy {
		test.Errorf("a refusal: %v", failure)
	}
}

func TestWhatWasNeverPackedIsGarbage(test *testing.T) {
	header := http.Header{"Content-Encoding": {packing}}
	for _, answer := range [][]byte{nil, []byte("no packing"), {0xff, 0xff, 0xff, 0xff, 0x0f}} {
		if _, failure := unpack(answer, header); failure == nil {
			test.Errorf("%q was unpacked", answer)
		}
	}
}
