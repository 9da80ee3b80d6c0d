package proxy

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"seamloom.example/seamloom/internal/membership"
)

func TestCallOutcomesAreCounted(t *testing.T) {
	var number atomic.Int64
	server := newFakeServer(t, func(connection *serverConnection, inbound *http.Request) bool {
		id := inbound.Header.Get("Seamloom-Call")
		switch number.Add(1) {
		case 1:
			connection.writeText(responseText(200, id, "x"))
		case 2:
			connection.writeText(responseText(503, id, "", "Seamloom-Not-Started: 1"))
		case 3:
			connection.writeText(streamHead(id) + chunk(event(1)))
			return false
		case 4:
			return false
		}
		return true
	})
	router := newRouter(t, &scriptedExecutor{decide: runOnce(func() membership.Server { return server.record })})
	for call := range 4 {
		_ = router.send(t, "id-"+strconv.Itoa(call), "")
	}
	var text bytes.Buffer
	router.handler.WriteMetrics(&text)
	for _, line := range []string{
		`seamloom_calls_total{ending="served"} 1`, `seamloom_calls_total{ending="through"} 1`,
		`seamloom_calls_total{ending="cut"} 1`, `seamloom_calls_total{ending="broken"} 1`,
		`seamloom_call_dispatches_total{kind="run",result="complete"} 1`, `seamloom_call_dispatches_total{kind="run",result="not_started"} 1`,
		`seamloom_call_dispatches_total{kind="run",result="cut"} 1`, `seamloom_call_dispatches_total{kind="run",result="silent"} 1`,
		"seamloom_call_seconds_count 1", "seamloom_call_first_seconds_count 2", "seamloom_call_circuits_opened_total 2"} {
		if !strings.Contains(text.String(), line+"\n") {
			t.Errorf("the metrics lack %s:\n%s", line, text.String())
		}
	}
}
