// Package compare holds two builds against each other on the same days: paired differences
// of what the days were worth, with their confidence.
package compare

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"seamloom.example/seamloom/internal/failure"
)

// Report is what a played day was worth, as the users' bench writes it.
type Report struct {
	Worth    float64    `json:"G"`
	Served   float64    `json:"served"`
	Unserved float64    `json:"unserved"`
	Parts    []namedRow `json:"parts"`
	Prices   []namedRow `json:"prices"`
	Classes  []Class    `json:"classes"`
	// Breaks are the rules that were broken, and how often.
	Breaks map[string]any `json:"breaks"`
	// Fault is why the day counts for nothing, if it does.
	Fault any `json:"fault"`
}

// Class is how the requests of one kind went.
type Class struct {
	Name    string `json:"name"`
	Count   int    `json:"n"`
	InAim   int    `json:"in_aim"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
}

// namedRow is a name with its weight or its amount, and its value.
type namedRow struct {
	Name   string
	Amount float64
	Value  float64
}

// UnmarshalJSON reads a row, which is a list.
func (row *namedRow) UnmarshalJSON(text []byte) error {
	fields := []any{&row.Name, &row.Amount, &row.Value}
	return json.Unmarshal(text, &fields)
}

// Figures are the report's figures by name: the worth, its parts, what prices took off, and
// for each kind of request the shares in aim, late and not served.
func (r *Report) Figures() map[string]float64 {
	figures := map[string]float64{"worth": r.Worth, "served": r.Served, "unserved": r.Unserved}
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
		asked := float64(max(1, class.Count))
		figures[class.Name+": in aim"] = float64(class.InAim) / asked
		figures[class.Name+": late"] = float64(class.Late) / asked
		figures[class.Name+": not served"] = float64(class.Refused+class.Failed) / asked
	}
	return figures
}

// Broken tells whether a rule was broken or the day counts for nothing.
func (r *Report) Broken() bool { return len(r.Breaks) > 0 || r.Fault != nil }

// ReadReports reads a folder of reports, by day: the files' names without their ending.
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
