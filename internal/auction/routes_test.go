package auction

import (
	"fmt"
	"strings"
	"testing"

	"seamloom.example/seamloom/internal/config"
)

// manyRoutes is a configuration in which the last of many routes matches.
func manyRoutes(count int) []byte {
	var text strings.Builder
	_, _ = text.WriteString(`{"services":{"chat":{}},"routes":{"last":{"order":9,"to":{}}`)
	for number := range count {
		_, _ = fmt.Fprintf(&text, `,"r%d":{"order":1,"match":{"service":"chat","origin":"o%d"},"to":{"districts":["north"]}}`, number, number)
	}
	_, _ = text.WriteString(`}}`)
	return []byte(text.String())
}

// BenchmarkRoutes measures what a configuration of so many routes costs to
// check and compile, once for each change, and to interpret, for each request.
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
		request := &Request{Service: "chat", Client: "nobody"}
		benchmark.Run(fmt.Sprintf("rule-%d", count), func(benchmark *testing.B) {
			for benchmark.Loop() {
				if _, refusal := table.Match(request, "north"); refusal != nil {
					benchmark.Fatal(refusal)
				}
			}
		})
	}
}
