package compare

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence is the level of the confidence intervals.
const confidence = 0.95

// Difference is the difference of one figure between two builds, on the days for which both builds
// have a report.
type Difference struct {
	Figure string  `json:"figure"`
	Days   int     `json:"days"`
	Before float64 `json:"before"`
	After  float64 `json:"after"`
	// Mean is the mean of the days' differences. With 95% confidence it lies within Margin of the
	// true mean, if the days are drawn independently from the same distribution.
	Mean   float64 `json:"mean"`
	Margin float64 `json:"margin"`
}

// Clear reports whether the confidence interval excludes zero.
func (d Difference) Clear() bool { return math.Abs(d.Mean) > d.Margin }

// Comparison holds the differences of all figures, and the days on which each build broke a
// rule.
type Comparison struct {
	Differences  []Difference `json:"differences"`
	Days         []string     `json:"days"`
	BrokenBefore []string     `json:"broken_before,omitempty"`
	BrokenAfter  []string     `json:"broken_after,omitempty"`
	// ScoreDifferences holds the difference of each day's score, in the order of Days.
	ScoreDifferences []float64 `json:"worth"`
}

// Compare compares the reports of the days that both builds have.
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
		comparison.ScoreDifferences = append(comparison.ScoreDifferences, second["worth"]-first["worth"])
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
		return sortKey(comparison.Differences[left].Figure) < sortKey(comparison.Differences[right].Figure)
	})
	return comparison
}

// union returns the names of the figures that at least one of two reports has.
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

// sortKey returns the key by which figures are sorted; the score ("worth") comes first.
func sortKey(figure string) string {
	if figure == "worth" {
		return ""
	}
	return figure
}

// differenceOf returns the difference of one figure. A day on which neither build has the figure
// counts as a difference of zero.
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

// String returns the comparison as a table, with a star after each clear difference.
func (c Comparison) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d days; broken before: %v; broken after: %v\n", len(c.Days), c.BrokenBefore, c.BrokenAfter)
	fmt.Fprintf(&text, "%-52s %10s %10s %10s %10s\n", "figure", "before", "after", "difference", "within")
	for _, difference := range c.Differences {
		star := ""
		if difference.Clear() {
			star = " *"
		}
		fmt.Fprintf(&text, "%-52s %10.4f %10.4f %+10.4f %10.4f%s\n", difference.Figure, difference.Before,
			difference.After, difference.Mean, difference.Margin, star)
	}
	return text.String()
}
