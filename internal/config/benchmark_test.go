package config

import (
	"fmt"
	"strings"
	"testing"
)

// largeConfiguration returns the text of a configuration with the given number of routes, and a last route that
// matches all requests.
func largeConfiguration(routes int) []byte {
	var text strings.Builder
	text.WriteString(`{"services":{"chat":{}},"routes":{`)
	for number := range routes {
		_, _ = fmt.Fprintf(&text,
			`"many-%d":{"order":5,"match":{"service":"chat","origin":"nobody-%d"},"to":{"districts":["north"]}},`, number, number)
	}
	text.WriteString(`"all":{"order":9,"to":{}}}}`)
	return []byte(text.String())
}

// BenchmarkLargeConfiguration measures three operations on a large configuration: checking it, evacuating a zone
// and merging a patch of one route.
func BenchmarkLargeConfiguration(benchmark *testing.B) {
	text := largeConfiguration(8000)
	benchmark.Run("check", func(benchmark *testing.B) {
		for range benchmark.N {
			if _, err := Check(text); err != nil {
				benchmark.Fatal(err)
			}
		}
	})
	benchmark.Run("evacuate", func(benchmark *testing.B) {
		for range benchmark.N {
			if _, err := Evacuate(text, "south", "because"); err != nil {
				benchmark.Fatal(err)
			}
		}
	})
	benchmark.Run("merge", func(benchmark *testing.B) {
		for range benchmark.N {
			if _, err := Merge(text, []byte(`{"routes":{"all":{"order":8}}}`)); err != nil {
				benchmark.Fatal(err)
			}
		}
	})
}
