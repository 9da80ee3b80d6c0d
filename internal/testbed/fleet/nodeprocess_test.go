package fleet

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"seamloom.example/seamloom/internal/membership"
)

// TestMetricOfACutResponseIsNotRead guards against a number that is read from a response of a process that was killed
// while it sent the number.
func TestMetricOfACutResponseIsNotRead(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		value int
	}{
		"complete":          {"other 7\nretries 12\n", 12},
		"cut in the number": {"other 7\nretries 1", -1},
		"cut behind it":     {"retries 12\noth", -1},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Length", "40")
				if test.value >= 0 {
					writer.Header().Del("Content-Length")
				}
				_, _ = writer.Write([]byte(test.text))
			}))
			t.Cleanup(server.Close)
			process := &NodeProcess{Node: membership.Node{Address: strings.TrimPrefix(server.URL, "http://")}}
			if value := process.Metric("retries"); value != test.value {
				t.Errorf("got %d, want %d", value, test.value)
			}
		})
	}
}
