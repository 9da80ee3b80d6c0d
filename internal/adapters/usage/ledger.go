package usage

import (
	"sort"
	"sync"
	"time"
)

// MostRows bounds a router's ledger; past it the oldest minutes are dropped.
const MostRows = 50_000

// Ledger is one router's usage, in memory: it ends with the process.
type Ledger struct {
	mutex sync.Mutex
	rows  map[Row]*Row
}

// NewLedger starts an empty ledger.
func NewLedger() *Ledger { return &Ledger{rows: map[Row]*Row{}} }

// Note adds one request that has ended.
func (l *Ledger) Note(now time.Time, ended Row) {
	ended.Minute = now.UTC().Truncate(time.Minute).Format(time.RFC3339)
	key := Row{Minute: ended.Minute, Router: ended.Router, Service: ended.Service, Client: ended.Client, Final: ended.Final}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	row, found := l.rows[key]
	if !found {
		if len(l.rows) >= MostRows {
			l.dropOldest()
		}
		fresh := key
		row = &fresh
		l.rows[key] = row
	}
	row.Requests++
	row.PromptTokens += ended.PromptTokens
	row.Chunks += ended.Chunks
}

func (l *Ledger) dropOldest() {
	oldest := ""
	for key := range l.rows {
		if oldest == "" || key.Minute < oldest {
			oldest = key.Minute
		}
	}
	for key := range l.rows {
		if key.Minute == oldest {
			delete(l.rows, key)
		}
	}
}

// Rows lists the ledger in order.
func (l *Ledger) Rows() []Row {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rows := make([]Row, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, *row)
	}
	Sort(rows)
	return rows
}

// Sort orders rows by minute, router, service, origin and end.
func Sort(rows []Row) {
	name := func(row Row) string {
		return row.Minute + "\x00" + row.Router + "\x00" + row.Service + "\x00" + row.Client + "\x00" + row.Final
	}
	sort.Slice(rows, func(left, right int) bool { return name(rows[left]) < name(rows[right]) })
}
