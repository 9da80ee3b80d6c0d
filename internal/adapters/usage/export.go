package usage

import (
	"encoding/csv"
	"io"
	"strconv"

	"github.com/parquet-go/parquet-go"

	"seamloom.example/seamloom/internal/failure"
)

// Columns are the names of a row's fields, in order, in both formats.
var Columns = []string{"minute", "courier", "service", "origin", "final", "inquiries", "prompt_tokens", "pieces"}

// WriteCSV writes rows with a line of names first.
func WriteCSV(target io.Writer, rows []Row) error {
	writer := csv.NewWriter(target)
	if err := writer.Write(Columns); err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	for _, row := range rows {
		if err := writer.Write([]string{row.Minute, row.Router, row.Service, row.Client, row.Final, strconv.FormatInt(row.Requests, 10),
			strconv.FormatInt(row.PromptTokens, 10), strconv.FormatInt(row.Chunks, 10)}); err != nil {
			return failure.Wrap(failure.Disk, err)
		}
	}
	writer.Flush()
	return failure.Wrap(failure.Disk, writer.Error())
}

// WriteParquet writes rows with their schema.
func WriteParquet(target io.Writer, rows []Row) error {
	return failure.Wrap(failure.Disk, parquet.Write(target, rows))
}
