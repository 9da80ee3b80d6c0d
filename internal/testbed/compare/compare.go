package compare

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is that of the intervals.
const confidence = 0.95

// Difference is how one figure changed over the days that both sides played.
type Difference struct {
	Figure string  `json:"figure"`
	Days   int     `json:"days"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Mean is that of the differences day by day, and lies within Margin of the true one
	// with 95% confidence, if the days are drawn alike.
	Mean   float64 `json:"mean"`
	Margin float64 `json:"margin"`
}

// Clear tells whether the interval leaves out zero.
func (d Difference) Clear() bool { return math.Abs(d.Mean) > d.Margin }

// Comparison is that of all figures, and of the days that one side alone broke.
type Comparison struct {
	Differences  []Difference `json:"differences"`
	Days         []string     `json:"days"`
	BrokenBefore []string     `json:"broken_before,omitempty"`
	BrokenAfter  []string     `json:"broken_after,omitempty"`
	// Worth are the differences of the days' worth, in the order of Days.
	Worth []float64 `json:"worth"`
}

// Compare pairs the days that both sides played.
func Compare(before, after map[string]*Report) Comparison {
	var comparison Comparison
	pairs := map[string][][2]float64{}
	for day := range before {
		if after[day] != nil {
			comparison.Days = append(comparison.Days, day)
		}
	}
	sort.Strings(comparison.Days)
	for _, day := range comparison.Days {
		first, second := before[day].Figures(), after[day].Figures()
		for name := range union(first, second) {
			pairs[name] = append(pairs[name], [2]float64{first[name], second[name]})
		}
		comparison.Worth = append(comparison.Worth, second["worth"]-first["worth"])
		if before[day].Broken() {
			comparison.BrokenBefore = append(comparison.BrokenBefore, day)
		}
		if after[day].Broken() {
			comparison.BrokenAfter = append(comparison.BrokenAfter, day)
		}
	}
	for name, values := range pairs {
		comparison.Differences = append(comparison.Differences, differenceOf(name, values, len(comparison.Days)))
	}
	sort.Slice(comparison.Differences, func(left, right int) bool {
		return rank(comparison.Differences[left].Figure) < rank(comparison.Differences[right].Figure)
	})
	return comparison
}

func union(first, second map[string]float64) map[string]bool {
	names := map[string]bool{}
	for name := range first {
		names[name] = true
	}
	for name := range second {
		names[name] = true
	}
	return names
}

// rank has the worth come first.
func rank(figure string) string {
	if figure == "worth" {
		return ""
	}
	return figure
}

// differenceOf is that of one figure. A day on which neither side has it counts as none.
func differenceOf(name string, pairs [][2]float64, days int) Difference {
	difference := Difference{Figure: name, Days: days}
	differences := make([]float64, days)
	for position, pair := range pairs {
		difference.Before += pair[0] / float64(days)
		difference.After += pair[1] / float64(days)
		differences[position] = pair[1] - pair[0]
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	difference.Mean = mean
	if days < 2 {
		difference.Margin = math.Inf(1)
		return difference
	}
	student := distuv.StudentsT{Sigma: 1, Nu: float64(days - 1)}
	difference.Margin = student.Quantile((1+confidence)/2) * deviation / math.Sqrt(float64(days))
	return difference
}

// String is the comparison as a table.
func (c Comparison) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d days; broken before: %v; broken after: %v\n", len(c.Days), c.BrokenBefore, c.BrokenAfter)
	fmt.Fprintf(&text, "%-52s %10s %10s %10s %10s\n", "figure", "before", "after", "difference", "within")
	for _, difference := range c.Differences {
		mark := ""
		if difference.Clear() {
			mark = " *"
		}
		fmt.Fprintf(&text, "%-52s %10.4f %10.4f %+10.4f %10.4f%s\n", difference.Figure, difference.Before,
			difference.After, difference.Mean, difference.Margin, mark)
	}
	return text.String()
}
