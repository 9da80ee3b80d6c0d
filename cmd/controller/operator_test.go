package main

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestCutResponseHasAnExitCode guards against an answer of a controller that breaks off where nothing but the
// end of the connection marks its end, and that scripts would take for a complete one by the exit code.
func TestCutResponseHasAnExitCode(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		code int
	}{
		"complete":          {`{"version":"1.2"}`, 0},
		"within an object":  {`{"version":"1.2"`, exitUnknown},
		"before its begin":  {"", exitUnknown},
		"text, not a value": {`no JSON`, exitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", "application/json")
				// net/http then sends neither a length nor chunks, and closes the connection after the body.
				writer.Header().Set("Transfer-Encoding", "identity")
				_, _ = writer.Write([]byte(test.body))
			}))
			t.Cleanup(server.Close)
			o := &operator{addresses: []string{strings.TrimPrefix(server.URL, "http://")}, timeout: time.Second, client: http.DefaultClient}
			_, err := o.send(http.MethodGet, "/v1/configuration", nil, nil)
			var exit *exitError
			if errors.As(err, &exit) != (test.code != 0) || exit != nil && exit.code != test.code {
				t.Errorf("got error %v, want exit code %d", err, test.code)
			}
		})
	}
}
