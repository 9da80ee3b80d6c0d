package usage

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/parquet-go/parquet-go"

	"seamloom.example/seamloom/internal/failure"
)

// Columns are the column names in order, which CSV and Parquet share.
var Columns = []string{"minute", "courier", "service", "origin", "final", "inquiries", "prompt_tokens", "pieces"}

// WriteCSV writes rows as CSV, with Columns as the first line. An error has the code Disk.
func WriteCSV(target io.Writer, rows []Row) error {
	writer := csv.NewWriter(target)
	if err := writer.Write(Columns); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	for _, row := range rows {
		record := []string{
			row.Minute,
			row.Router,
			row.Service,
			row.Client,
			row.Final,
			strconv.FormatInt(row.Requests, 10),
			strconv.FormatInt(row.PromptTokens, 10),
			strconv.FormatInt(row.Chunks, 10),
		}
		if err := writer.Write(record); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
	}
	writer.Flush()
	return failure.Wrap(failure.Disk, writer.Error())
}

// WriteParquet writes rows as a Parquet file with the schema of Row. An error has the code Disk.
func WriteParquet(target io.Writer, rows []Row) error {
	return failure.Wrap(failure.Disk, parquet.Write(target, rows))
}
