// Package usage counts requests, prompt tokens and chunks for each service and client, and writes the
// counts as CSV or Parquet. Each router records the requests that have ended in its Meter. The usage of the
// fleet consists of the rows of all routers, ordered by Sort.
package usage

import (
	"sort"
	"sync"
	"time"
)

// Row is the usage of one service by one client through one router in one minute, for the requests whose
// replies ended with the same final status. Its struct tags hold the column names, which Columns repeats
// for CSV.
type Row struct {
	// Minute is the start of the minute in UTC, in the format of RFC 3339.
	Minute  string `json:"minute" parquet:"minute"`
	Router  string `json:"courier" parquet:"courier,dict"`
	Service string `json:"service" parquet:"service,dict"`
	Client  string `json:"origin" parquet:"origin,dict"`
	// Final is the final status of the replies.
	Final string `json:"final" parquet:"final,dict"`
	// Requests is the number of requests; PromptTokens and Chunks are sums over these requests.
	Requests     int64 `json:"inquiries" parquet:"inquiries"`
	PromptTokens int64 `json:"prompt_tokens" parquet:"prompt_tokens"`
	Chunks       int64 `json:"pieces" parquet:"pieces"`
}

// MaxRows limits the number of rows of a router's meter. When it is reached, the rows of the oldest minute
// are dropped.
const MaxRows = 50_000

// Meter counts the usage of one router. It keeps the counts in memory only, so they are lost when the
// process ends. It is safe for concurrent use.
type Meter struct {
	mutex sync.Mutex
	rows  map[Row]*Row
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{rows: map[Row]*Row{}} }

// Record adds one request that ended at the time now. It ignores the fields Minute and Requests of ended.
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

// dropOldest drops all rows of the oldest minute. The caller holds the mutex.
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

// Rows returns the current rows in the order of Sort.
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

// Sort sorts rows by minute, router, service, client and final status.
func Sort(rows []Row) {
	key := func(row Row) string {
		return row.Minute + "\x00" + row.Router + "\x00" + row.Service + "\x00" + row.Client + "\x00" + row.Final
	}
	sort.Slice(rows, func(a, b int) bool { return key(rows[a]) < key(rows[b]) })
}
