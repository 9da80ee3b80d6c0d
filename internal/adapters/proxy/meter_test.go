package proxy

import (
	"bytes"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"seamloom.example/seamloom/internal/membership"
)

func TestWhatBecomesOfCallsIsCounted(t *testing.T) {
	var number atomic.Int64
	s := newStandin(t, func(connection *callerConnection, _ *http.Request) bool {
		switch number.Add(1) {
		case 1:
			connection.say(whole(200, "id", "x"))
		case 2:
			connection.say(whole(503, "id", "", "Seamloom-Not-Started: 1"))
		case 3:
			connection.say(stream("id") + chunk(event(1)))
			return false
		case 4:
			return false
		}
		return true
	})
	r := newRouter(t, &scripted{decide: once(func() membership.Server { return s.server })})
	for range 4 {
		_ = r.send(t, "id", "")
	}
	var text bytes.Buffer
	r.handler.WriteMetrics(&text)
	for _, l := range []string{`seamloom_calls_total{ending="served"} 1`, `seamloom_calls_total{ending="through"} 1`, `seamloom_calls_total{ending="cut"} 1`, `seamloom_calls_total{ending="broken"} 1`,
		`seamloom_call_dispatches_total{kind="run",result="complete"} 1`, `seamloom_call_dispatches_total{kind="run",result="not_started"} 1`,
		`seamloom_call_dispatches_total{kind="run",result="cut"} 1`, `seamloom_call_dispatches_total{kind="run",result="silent"} 1`,
		"seamloom_call_seconds_count 1", "seamloom_call_first_seconds_count 2", "seamloom_call_circuits_opened_total 2"} {
		if !strings.Contains(text.String(), l+"\n") {
			t.Errorf("%s is missing in\n%s", l, text.String())
		}
	}
}
