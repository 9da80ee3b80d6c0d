package main

import (
	"fmt"
	"net/http"
	"os"
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

// takeover kills all controllers at the same instant and lets them come back within a second, the backup last; the
// primary's machine loses its disk as it leads again.
func takeover(f *fleet, disrupted bool) (string, error) {
	if _, err := f.addServer("decode", zones[0]); err != nil {
		return "", err
	}
	if err := f.start(streamRoute(2)); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if err := f.operate("/Config.Amend", "1", map[string]any{"revision": 7, "upsert": map[string]any{"routes": streamRoute(1)}}, 5*time.Second); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	primary, backup, third, err := f.rolesOfCore()
	if err != nil {
		return "", err
	}
	logged, err := os.ReadFile(f.logOf(primary, "controller"))
	if err != nil {
		return "", err
	}
	began := time.Now()
	for _, m := range f.machines {
		if err := m.controller.Kill(); err != nil {
			return "", err
		}
	}
	f.record.add("all controllers are killed")
	control := []string{"control"}
	time.Sleep(250 * time.Millisecond)
	for _, m := range []*machine{third, primary} {
		if err := f.startProcess(m, "controller", control); err != nil {
			return "", err
		}
	}
	f.record.add("the controllers on %s and %s are back", third.name, primary.name)
	if disrupted {
		for !f.leads(primary, len(logged)) && time.Since(began) < 850*time.Millisecond {
			time.Sleep(100 * time.Microsecond)
		}
		if err := primary.controller.Kill(); err != nil {
			return "", err
		}
		if err := f.loseDisk(primary, "controller"); err != nil {
			return "", err
		}
		f.record.add("the machine %s is killed and loses its disk", primary.name)
	}
	time.Sleep(time.Until(began.Add(900 * time.Millisecond)))
	if err := f.startProcess(backup, "controller", control); err != nil {
		return "", err
	}
	f.record.add("the controller on %s is back", backup.name)
	if disrupted {
		time.Sleep(500 * time.Millisecond)
		// What was written while the killed process ended is lost with the disk as well.
		if err := f.loseDisk(primary, "controller"); err != nil {
			return "", err
		}
		if err := f.startProcess(primary, "controller", control); err != nil {
			return "", err
		}
		f.record.add("the controller on %s is back, with an empty disk", primary.name)
	}
	for deadline := time.Now().Add(45 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
		if text := f.read(); text != "" {
			if strings.Contains(text, `"revision":7,`) {
				return "", nil
			}
			return "LOST: the configuration is " + text, nil
		}
	}
	return "LOST: the acknowledged revision 7 can't be read again", nil
}

// rolesOfCore returns the machines of the primary, of its backup and of the third controller. A controller that is not
// primary redirects the operator; the primary's log names its backup.
func (f *fleet) rolesOfCore() (primary, backup, third *machine, err error) {
	for i, m := range f.machines {
		request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/Config.Read", m.ip, f.control), nil)
		if err != nil {
			return nil, nil, nil, err
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			return nil, nil, nil, err
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue
		}
		logged, err := os.ReadFile(f.logOf(m, "controller"))
		if err != nil {
			return nil, nil, nil, err
		}
		one, other := f.machines[(i+1)%3], f.machines[(i+2)%3]
		_, granted, _ := cutLast(string(logged), "backups_granted")
		granted, _, _ = strings.Cut(granted, "\n")
		if strings.Contains(granted, other.name) {
			one, other = other, one
		}
		f.record.add("primary %s, backup %s", m.name, one.name)
		return m, one, other, nil
	}
	return nil, nil, nil, fmt.Errorf("no controller is primary")
}

// cutLast cuts a text around the last instance of a separator.
func cutLast(text, separator string) (before, after string, found bool) {
	position := strings.LastIndex(text, separator)
	if position < 0 {
		return text, "", false
	}
	return text[:position], text[position+len(separator):], true
}

// leads reports whether a controller has logged, after the given number of bytes of its log, that it is primary.
func (f *fleet) leads(m *machine, after int) bool {
	text, err := os.ReadFile(f.logOf(m, "controller"))
	return err == nil && len(text) > after && strings.Contains(string(text[after:]), "became_primary")
}
