package usage

import (
	"bytes"
	"encoding/csv"
	"reflect"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"
)

// TestExportsContainTheRecordedRows records requests, writes their rows as CSV and as Parquet, and reads both back.
func TestExportsContainTheRecordedRows(t *testing.T) {
	meter := NewMeter()
	noon := time.Date(2026, 1, 2, 12, 0, 10, 0, time.UTC)
	for range 3 {
		meter.Record(noon, Row{Router: "courier-1", Service: "chat", Client: "a,b", Final: "complete", PromptTokens: 80, Chunks: 5})
	}
	meter.Record(noon.Add(time.Minute), Row{Router: "courier-1", Service: "chat", Client: "a,b", Final: "refused", PromptTokens: 80})
	rows := meter.Rows()
	if len(rows) != 2 || rows[0].Requests != 3 || rows[0].PromptTokens != 240 || rows[0].Chunks != 15 ||
		rows[0].Minute != "2026-01-02T12:00:00Z" {
		t.Fatalf("got rows %+v, want two, the first with 3 requests, 240 prompt tokens and 15 chunks", rows)
	}
	var csvFile, parquetFile bytes.Buffer
	if err := WriteCSV(&csvFile, rows); err != nil {
		t.Fatal(err)
	}
	lines, err := csv.NewReader(&csvFile).ReadAll()
	if err != nil || len(lines) != 3 || !reflect.DeepEqual(lines[0], Columns) || lines[1][3] != "a,b" || lines[1][6] != "240" {
		t.Errorf("got CSV lines %v, error %v, want the columns and two rows", lines, err)
	}
	if err := WriteParquet(&parquetFile, rows); err != nil {
		t.Fatal(err)
	}
	read, err := parquet.Read[Row](bytes.NewReader(parquetFile.Bytes()), int64(parquetFile.Len()))
	if err != nil || !reflect.DeepEqual(read, rows) {
		t.Errorf("got Parquet rows %+v, error %v, want %+v", read, err, rows)
	}
}
