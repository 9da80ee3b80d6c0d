package auction

import (
	"fmt"
	"strings"
	"testing"

	"seamloom.example/seamloom/internal/config"
)

// manyRoutes returns the text of a configuration with count routes that do not match the
// benchmark's request, and a last route that matches it.
func manyRoutes(count int) []byte {
	var text strings.Builder
	_, _ = text.WriteString(`{"services":{"chat":{}},"routes":{"last":{"order":9,"to":{}}`)
	for number := range count {
		_, _ = fmt.Fprintf(&text, `,"r%d":{"order":1,"match":{"service":"chat","origin":"o%d"},"to":{"districts":["north"]}}`, number, number)
	}
	_, _ = text.WriteString(`}}`)
	return []byte(text.String())
}

// BenchmarkRoutes measures how long it takes to check and compile a configuration with many
// routes, which happens once per change, and to match a request, which happens per request.
func BenchmarkRoutes(benchmark *testing.B) {
	for _, count := range []int{10, 1000, 8000} {
		text := manyRoutes(count)
		configuration, err := config.Check(text)
		if err != nil {
			benchmark.Fatal(err)
		}
		benchmark.Run(fmt.Sprintf("check-and-compile-%d", count), func(benchmark *testing.B) {
			benchmark.ReportMetric(float64(len(text)), "bytes")
			for benchmark.Loop() {
				configuration, _ := config.Check(text)
				Compile(configuration, 1, 1)
			}
		})
		table := Compile(configuration, 1, 1)
		request := &Request{Service: "chat", Client: "other"}
		benchmark.Run(fmt.Sprintf("match-%d", count), func(benchmark *testing.B) {
			for benchmark.Loop() {
				if _, refusal := table.Match(request, "north"); refusal != nil {
					benchmark.Fatal(refusal)
				}
			}
		})
	}
}
