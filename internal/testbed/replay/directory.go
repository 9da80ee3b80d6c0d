package replay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/failure"
)

// snapshotInterval is the interval at which the directory records the servers. listPageSize is the
// largest number of servers on one page of the list.
const (
	snapshotInterval = 100 * time.Millisecond
	listPageSize     = 4
)

// serverEntry is a server's entry in the platform's list.
type serverEntry struct {
	ID            string       `json:"id"`
	Backend       string       `json:"backend"`
	Address       string       `json:"address"`
	Zone          string       `json:"zone"`
	Revision      string       `json:"revision"`
	Slots         int          `json:"slots"`
	State         string       `json:"state"`
	ColdRemaining int64        `json:"coldLeftMs"`
	Phase         string       `json:"phase,omitempty"`
	ModelIDs      []modelEntry `json:"modelIds,omitempty"`
}

// Directory serves the platform's list of servers, which lags behind the servers' state by the list
// lag.
type Directory struct {
	Address string

	events *EventLog
	pool   *ServerPool
	site   Site
	http   *http.Server
	cancel context.CancelFunc

	mutex       sync.Mutex
	snapshots   []snapshot
	recentReads []time.Time
}

// snapshot holds the list of servers at one moment.
type snapshot struct {
	at      time.Time
	servers []serverEntry
	// crashed holds the listed servers that have crashed, and when each was first found missing.
	crashed map[string]time.Time
}

// startDirectory starts serving the list at an address.
func startDirectory(events *EventLog, pool *ServerPool, site Site, address string) (*Directory, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err)
	}
	directory := &Directory{Address: address, events: events, pool: pool, site: site}
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(pathServers), directory.list)
	directory.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	var lifetime context.Context
	lifetime, directory.cancel = context.WithCancel(context.Background())
	directory.snapshot(time.Now().Add(-time.Hour))
	go func() { _ = directory.http.Serve(listener) }()
	go func() {
		for sleep(lifetime, snapshotInterval) {
			directory.snapshot(time.Now())
		}
	}()
	return directory, nil
}

// crashedListedFor is how long a crashed server stays on the list.
const crashedListedFor = 2 * time.Second

// snapshot records the current servers. A server that disappeared without having been listed as
// draining counts as crashed, and stays on the list for crashedListedFor.
func (d *Directory) snapshot(now time.Time) {
	servers := d.pool.all()
	entries := make([]serverEntry, 0, len(servers))
	present := map[string]bool{}
	for _, server := range servers {
		entry := server.listEntry(now)
		present[entry.ID] = true
		entries = append(entries, entry)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	crashed := map[string]time.Time{}
	if len(d.snapshots) > 0 {
		last := d.snapshots[len(d.snapshots)-1]
		for _, entry := range last.servers {
			since, known := last.crashed[entry.ID]
			if present[entry.ID] || entry.State == stateDraining {
				continue
			}
			if !known {
				since = now
			}
			if now.Sub(since) < crashedListedFor {
				crashed[entry.ID] = since
				entries = append(entries, entry)
			} else {
				d.events.Append(Event{
					Kind:    ShownLeaving,
					At:      now.Add(d.site.ListLag + snapshotInterval),
					Server:  entry.ID,
					Service: entry.Backend,
					Cause:   "gone",
				})
			}
		}
	}
	d.snapshots = append(d.snapshots, snapshot{at: now, servers: entries, crashed: crashed})
	for len(d.snapshots) > 1 && now.Sub(d.snapshots[1].at) > d.site.ListLag {
		d.snapshots = d.snapshots[1:]
	}
}

// list responds with one page of the list as it was a list lag ago.
func (d *Directory) list(writer http.ResponseWriter, inbound *http.Request) {
	now := time.Now()
	d.mutex.Lock()
	for len(d.recentReads) > 0 && now.Sub(d.recentReads[0]) > time.Second {
		d.recentReads = d.recentReads[1:]
	}
	d.recentReads = append(d.recentReads, now)
	overLimit := float64(len(d.recentReads)) > d.site.ListRate
	oldest := d.snapshots[0]
	d.mutex.Unlock()
	status := http.StatusOK
	if overLimit {
		status = http.StatusTooManyRequests
	}
	d.events.Append(Event{Kind: ListRead, Status: status})
	if overLimit {
		writer.WriteHeader(status)
		return
	}
	zone, token := inbound.URL.Query().Get("zone"), inbound.URL.Query().Get("pageToken")
	skipped, _ := strconv.Atoi(strings.TrimPrefix(token, "p-"))
	entries := []serverEntry{}
	for _, entry := range oldest.servers {
		if zone == "" || entry.Zone == zone {
			entries = append(entries, entry)
		}
	}
	var next any
	entries = entries[min(skipped, len(entries)):]
	if len(entries) > listPageSize {
		entries, next = entries[:listPageSize], "p-"+strconv.Itoa(skipped+listPageSize)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"servers": entries, "nextToken": next})
}

// close stops the directory.
func (d *Directory) close() {
	d.cancel()
	_ = d.http.Close()
}
