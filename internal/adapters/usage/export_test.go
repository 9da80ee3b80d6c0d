package usage

import (
	"bytes"
	"encoding/csv"
	"reflect"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
)

// TestBothFormatsGiveTheSameRowsBack counts requests and reads both files.
func TestBothFormatsGiveTheSameRowsBack(t *testing.T) {
	meter := NewMeter()
	noon := time.Date(2026, 1, 2, 12, 0, 10, 0, time.UTC)
	for range 3 {
		meter.Record(noon, Row{Router: "courier-1", Service: "chat", Client: "a,b", Final: "complete", PromptTokens: 80, Chunks: 5})
	}
	meter.Record(noon.Add(time.Minute), Row{Router: "courier-1", Service: "chat", Client: "a,b", Final: "refused", PromptTokens: 80})
	rows := meter.Rows()
	if len(rows) != 2 || rows[0].Requests != 3 || rows[0].PromptTokens != 240 || rows[0].Chunks != 15 || rows[0].Minute != "2026-01-02T12:00:00Z" {
		t.Fatalf("%+v", rows)
	}
	var table, columns bytes.Buffer
	if err := WriteCSV(&table, rows); err != nil {
		t.Fatal(err)
	}
	lines, err := csv.NewReader(&table).ReadAll()
	if err != nil || len(lines) != 3 || !reflect.DeepEqual(lines[0], Columns) || lines[1][3] != "a,b" || lines[1][6] != "240" {
		t.Errorf("%v, %v", lines, err)
	}
	if err := WriteParquet(&columns, rows); err != nil {
		t.Fatal(err)
	}
	read, err := parquet.Read[Row](bytes.NewReader(columns.Bytes()), int64(columns.Len()))
	if err != nil || !reflect.DeepEqual(read, rows) {
		t.Errorf("%+v, %v", read, err)
	}
}
