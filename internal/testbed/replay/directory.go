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

// directoryBeat is how often the directory snapshots at the servers; listPage how many one
// page of the list holds.
const (
	directoryBeat = 100 * time.Millisecond
	listPage      = 4
)

// serverPage is an entry of the list.
type serverPage struct {
	ID       string      `json:"id"`
	Backend  string      `json:"backend"`
	Address  string      `json:"address"`
	Zone     string      `json:"zone"`
	Revision string      `json:"revision"`
	Slots    int         `json:"slots"`
	State    string      `json:"state"`
	ColdLeft int64       `json:"coldLeftMs"`
	Phase    string      `json:"phase,omitempty"`
	ModelIDs []modelPage `json:"modelIds,omitempty"`
}

// Directory is the platform's list of servers, which is some time behind.
type Directory struct {
	Address string

	events *EventLog
	pool   *ServerPool
	site   Site
	http   *http.Server
	end    context.CancelFunc

	mutex     sync.Mutex
	snapshots []snapshot
	asked     []time.Time
}

// snapshot is what the directory saw at one moment.
type snapshot struct {
	at      time.Time
	servers []serverPage
	crashed map[string]time.Time
}

// startDirectory begins the list at an address.
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
	lifetime, directory.end = context.WithCancel(context.Background())
	directory.snapshot(time.Now().Add(-time.Hour))
	go func() { _ = directory.http.Serve(listener) }()
	go func() {
		for sleep(lifetime, directoryBeat) {
			directory.snapshot(time.Now())
		}
	}()
	return directory, nil
}

// crashedStays is how long a server stays on the list that has crashed.
const crashedStays = 2 * time.Second

// snapshot writes down which servers there are. One that is gone without having been shown
// as leaving stays for some seconds.
func (d *Directory) snapshot(now time.Time) {
	servers := d.pool.all()
	pages := make([]serverPage, 0, len(servers))
	present := map[string]bool{}
	for _, server := range servers {
		page := server.listed(now)
		present[page.ID] = true
		pages = append(pages, page)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	crashed := map[string]time.Time{}
	if len(d.snapshots) > 0 {
		last := d.snapshots[len(d.snapshots)-1]
		for _, page := range last.servers {
			since, known := last.crashed[page.ID]
			if present[page.ID] || page.State == stateDraining {
				continue
			}
			if !known {
				since = now
			}
			if now.Sub(since) < crashedStays {
				crashed[page.ID] = since
				pages = append(pages, page)
			} else {
				d.events.Append(Event{
					Kind:    Shown,
					At:      now.Add(d.site.ListLag + directoryBeat),
					Server:  page.ID,
					Service: page.Backend,
					Cause:   "gone",
				})
			}
		}
	}
	d.snapshots = append(d.snapshots, snapshot{at: now, servers: pages, crashed: crashed})
	for len(d.snapshots) > 1 && now.Sub(d.snapshots[1].at) > d.site.ListLag {
		d.snapshots = d.snapshots[1:]
	}
}

// list answers with one page of what was seen a lag ago.
func (d *Directory) list(writer http.ResponseWriter, inbound *http.Request) {
	now := time.Now()
	d.mutex.Lock()
	for len(d.asked) > 0 && now.Sub(d.asked[0]) > time.Second {
		d.asked = d.asked[1:]
	}
	d.asked = append(d.asked, now)
	over := float64(len(d.asked)) > d.site.ListRate
	seen := d.snapshots[0]
	d.mutex.Unlock()
	status := http.StatusOK
	if over {
		status = http.StatusTooManyRequests
	}
	d.events.Append(Event{Kind: ListRead, Status: status})
	if over {
		writer.WriteHeader(status)
		return
	}
	zone, token := inbound.URL.Query().Get("zone"), inbound.URL.Query().Get("pageToken")
	skipped, _ := strconv.Atoi(strings.TrimPrefix(token, "p-"))
	pages := []serverPage{}
	for _, page := range seen.servers {
		if zone == "" || page.Zone == zone {
			pages = append(pages, page)
		}
	}
	var next any
	pages = pages[min(skipped, len(pages)):]
	if len(pages) > listPage {
		pages, next = pages[:listPage], "p-"+strconv.Itoa(skipped+listPage)
	}
	writeJSON(writer, http.StatusOK, map[string]any{"servers": pages, "nextToken": next})
}

func (d *Directory) close() {
	d.end()
	_ = d.http.Close()
}
