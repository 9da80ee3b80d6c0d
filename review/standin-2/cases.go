package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// streamRoute returns a route for streams that must not run twice.
func streamRoute(tries int) []map[string]any {
	return []map[string]any{{"name": "r-chat", "host": "chat.example", "pathPrefix": "/ask/", "routeKind": "streaming", "deadlineMs": 8000,
		"targetMs": 500, "priority": 1, "backend": "zone-desk", "maxTries": tries, "sticky": true, "resumable": false, "tokenGapMs": 250}}
}

// extraAnswer lets the handles of one of three prefill servers lapse at once for 4 s, twice with 4 s between, and lets
// the decode servers meanwhile send 3 in 100 of their answers a second time, late: answers that turn a request away.
func extraAnswer(f *fleet, disrupted bool) (string, error) {
	// lapsing is the number of the prefill server whose handles lapse, counted from 1; zero if there is none.
	var lapsing atomic.Int64
	for i, phase := range []string{"prefill", "prefill", "prefill", "decode", "decode", "decode"} {
		server, err := f.addServer(phase, zones[i%len(zones)])
		if err != nil {
			return "", err
		}
		server.lapse = func() bool { return lapsing.Load() == int64(i+1) }
		server.repeat = func() bool { return disrupted && lapsing.Load() > 0 }
	}
	if err := f.start(streamRoute(2)); err != nil {
		return "", err
	}
	var broken sync.Map
	var group sync.WaitGroup
	for number := range 1700 {
		if number%400 == 0 {
			lapsing.Store(0)
			if turn := number / 400; turn%2 == 1 {
				lapsing.Store(int64(turn/2%3 + 1))
			}
		}
		time.Sleep(10 * time.Millisecond)
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(number))
			got := f.ask(f.machines[number%len(f.machines)], id, verdict(number))
			time.Sleep(500 * time.Millisecond)
			if runs := f.record.runsOf(id); len(runs) > 0 && (got.status == 503 || got.status == 429) {
				broken.Store(id, fmt.Sprintf("REFUSED: %s got %d and ran on %v", id, got.status, runs))
			}
		}()
	}
	group.Wait()
	var found []string
	broken.Range(func(_, value any) bool { found = append(found, value.(string)); return true })
	for _, server := range f.servers {
		server.mutex.Lock()
		f.record.add("server %s gave %d answers, %d of them twice", server.id, server.answers, server.repeated)
		server.mutex.Unlock()
	}
	return strings.Join(found, "; "), nil
}

// ask sends one request with a prompt to the router on a machine.
func (f *fleet) ask(m *machine, id string, with prompt) reply {
	got := call(fmt.Sprintf("%s:%d", m.ip, f.front), with.text("chat.example", "/ask/rider", id), 9*time.Second)
	f.record.add("client sent %s to %s and got %d (%d bytes, error %v)", id, m.name, got.status, len(got.body), got.err)
	return got
}

// options sends a request to the whole server, which no route allows.
func options(f *fleet, disrupted bool) (string, error) {
	for i, phase := range []string{"prefill", "decode"} {
		if _, err := f.addServer(phase, zones[i]); err != nil {
			return "", err
		}
	}
	if err := f.start(streamRoute(1)); err != nil {
		return "", err
	}
	for number, m := range f.machines {
		text := "OPTIONS /other/path HTTP/1.1\r\nHost: chat.example\r\nX-Attempt-Id: %016x\r\n\r\n"
		if disrupted {
			text = "OPTIONS * HTTP/1.1\r\nHost: chat.example\r\nX-Attempt-Id: %016x\r\n\r\n"
		}
		got := call(fmt.Sprintf("%s:%d", m.ip, f.front), fmt.Sprintf(text, number+1), 3*time.Second)
		f.record.add("client sent OPTIONS to %s and got %d, seal %q, %d bytes, error %v", m.name, got.status, got.seal, len(got.body), got.err)
		if got.status >= 200 && got.status < 300 && got.seal == "" {
			return fmt.Sprintf("MIXED: a success %d without X-Server-Seal", got.status), nil
		}
	}
	return "", nil
}

// silence lets a decode server put streams back for a while, and stops a router in order meanwhile.
func silence(f *fleet, disrupted bool) (string, error) {
	var busy atomic.Bool
	for i, phase := range []string{"prefill", "prefill", "decode", "decode"} {
		server, err := f.addServer(phase, zones[i%len(zones)])
		if err != nil {
			return "", err
		}
		switch i {
		case 2:
			server.putBack = func() time.Duration {
				if disrupted && busy.Load() {
					return 1300 * time.Millisecond
				}
				return 0
			}
		case 3:
			server.full = busy.Load
		}
	}
	routes := streamRoute(2)
	routes[0]["resumable"] = true
	if err := f.start(routes); err != nil {
		return "", err
	}
	for number := range 300 {
		f.ask(f.machines[number%len(f.machines)], fmt.Sprintf("%016x", 0x1c41d07be2a30000+uint64(number)), chat)
		time.Sleep(20 * time.Millisecond)
	}
	busy.Store(true)
	time.Sleep(1500 * time.Millisecond)
	m := f.machines[1]
	var cut sync.Map
	var group sync.WaitGroup
	for number := range 12 {
		group.Add(1)
		go func() {
			defer group.Done()
			id := fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(number))
			got := f.ask(m, id, chat)
			if runs := f.record.runsOf(id); got.err != nil && len(runs) > 0 {
				cut.Store(id, fmt.Sprintf("LOST: %s, at work on %v, was cut off after %d bytes", id, runs, len(got.body)))
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	f.record.add("SIGTERM to the router on %s", m.name)
	if err := m.router.Signal(syscall.SIGTERM); err != nil {
		return "", err
	}
	group.Wait()
	time.Sleep(time.Second)
	var found []string
	cut.Range(func(_, value any) bool { found = append(found, value.(string)); return true })
	return strings.Join(found, "; "), nil
}
