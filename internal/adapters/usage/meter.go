// Package usage counts what was used, and writes it as CSV or Parquet. A router
// records each request that has ended in its Meter; whoever wants the fleet's usage gathers
// the rows of all routers and sorts them.
package usage

import (
	"sort"
	"sync"
	"time"
)

// Row is the usage of one service by one client in one minute, at one router, by how the
// replies ended. Its tags are the schema of both formats.
type Row struct {
	// Minute is the minute's beginning in UTC, as RFC 3339.
	Minute  string `json:"minute" parquet:"minute"`
	Router  string `json:"courier" parquet:"courier,dict"`
	Service string `json:"service" parquet:"service,dict"`
	Client  string `json:"origin" parquet:"origin,dict"`
	// Final is how the replies ended.
	Final string `json:"final" parquet:"final,dict"`
	// Requests, PromptTokens and Chunks are sums over the requests that ended so.
	Requests     int64 `json:"inquiries" parquet:"inquiries"`
	PromptTokens int64 `json:"prompt_tokens" parquet:"prompt_tokens"`
	Chunks       int64 `json:"pieces" parquet:"pieces"`
}

// MaxRows bounds a router's meter; past it the rows of the oldest minute are dropped.
const MaxRows = 50_000

// Meter is one router's usage, in memory only: it is lost when the process ends. It is safe
// for concurrent use.
type Meter struct {
	mutex sync.Mutex
	rows  map[Row]*Row
}

// NewMeter makes an empty meter.
func NewMeter() *Meter { return &Meter{rows: map[Row]*Row{}} }

// Record adds one request that has ended at now. It reads all fields of ended but Minute
// and Requests.
func (m *Meter) Record(now time.Time, ended Row) {
	ended.Minute = now.UTC().Truncate(time.Minute).Format(time.RFC3339)
	key := Row{
		Minute:  ended.Minute,
		Router:  ended.Router,
		Service: ended.Service,
		Client:  ended.Client,
		Final:   ended.Final,
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	row, found := m.rows[key]
	if !found {
		if len(m.rows) >= MaxRows {
			m.dropOldest()
		}
		first := key
		row = &first
		m.rows[key] = row
	}
	row.Requests++
	row.PromptTokens += ended.PromptTokens
	row.Chunks += ended.Chunks
}

// dropOldest drops all rows of the oldest minute. The caller holds the lock.
func (m *Meter) dropOldest() {
	oldest := ""
	for key := range m.rows {
		if oldest == "" || key.Minute < oldest {
			oldest = key.Minute
		}
	}
	for key := range m.rows {
		if key.Minute == oldest {
			delete(m.rows, key)
		}
	}
}

// Rows returns the usage so far, sorted.
func (m *Meter) Rows() []Row {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	rows := make([]Row, 0, len(m.rows))
	for _, row := range m.rows {
		rows = append(rows, *row)
	}
	Sort(rows)
	return rows
}

// Sort orders rows by minute, router, service, client and end.
func Sort(rows []Row) {
	key := func(row Row) string {
		return row.Minute + "\x00" + row.Router + "\x00" + row.Service + "\x00" + row.Client + "\x00" + row.Final
	}
	sort.Slice(rows, func(a, b int) bool { return key(rows[a]) < key(rows[b]) })
}
