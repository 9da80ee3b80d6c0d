// Package compare compares two builds by their reports of the same days: it computes the paired
// differences of the days' figures and their confidence intervals.
package compare

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Report is the benchmark's report of one day, as the users' bench writes it.
type Report struct {
	// Score is the score of the day. Figures and tables call it the worth.
	Score    float64    `json:"G"`
	Served   float64    `json:"served"`
	Unserved float64    `json:"unserved"`
	Parts    []namedRow `json:"parts"`
	Prices   []namedRow `json:"prices"`
	Classes  []Class    `json:"classes"`
	// Breaks holds the rules that were broken, and how often each was broken.
	Breaks map[string]any `json:"breaks"`
	// Fault is the reason for which the day is invalid, or nil.
	Fault any `json:"fault"`
}

// Class counts the outcomes of the requests of one class.
type Class struct {
	Name     string `json:"name"`
	Count    int    `json:"n"`
	InTarget int    `json:"in_aim"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
}

// namedRow is a row of a report: a name, its weight or amount, and its value.
type namedRow struct {
	Name   string
	Amount float64
	Value  float64
}

// UnmarshalJSON decodes a row from a JSON list.
func (row *namedRow) UnmarshalJSON(text []byte) error {
	fields := []any{&row.Name, &row.Amount, &row.Value}
	return json.Unmarshal(text, &fields)
}

// Figures returns the report's figures by name: the worth, its parts, the deductions (prices), and
// for each class of requests the shares that were within the target, late and not served.
func (r *Report) Figures() map[string]float64 {
	figures := map[string]float64{"worth": r.Score, "served": r.Served, "unserved": r.Unserved}
	for _, part := range r.Parts {
		figures["part: "+part.Name] = part.Value
	}
	for _, price := range r.Prices {
		figures["prices"] += price.Value
		if price.Value != 0 {
			figures["price: "+price.Name] = price.Value
			figures["amount: "+price.Name] = price.Amount
		}
	}
	for _, class := range r.Classes {
		requests := float64(max(1, class.Count))
		figures[class.Name+": in aim"] = float64(class.InTarget) / requests
		figures[class.Name+": late"] = float64(class.Late) / requests
		figures[class.Name+": not served"] = float64(class.Refused+class.Failed) / requests
	}
	return figures
}

// Broken reports whether a rule was broken or the day is invalid.
func (r *Report) Broken() bool { return len(r.Breaks) > 0 || r.Fault != nil }

// ReadReports reads a folder of reports and returns them by day. The name of a report's file,
// without its extension, is the day.
func ReadReports(folder string) (map[string]*Report, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, failure.Wrap(failure.NoSuch, err)
	}
	reports := map[string]*Report{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, failure.Wrap(failure.NoSuch, err)
		}
		report := &Report{}
		if err := json.Unmarshal(text, report); err != nil {
			return nil, failure.Wrap(failure.Garbage, err)
		}
		reports[strings.TrimSuffix(filepath.Base(file), ".json")] = report
	}
	return reports, nil
}
