package config

import (
	"fmt"
	"strings"
	"testing"
)

// large is a configuration of so many routes.
func large(routes int) []byte {
	var text strings.Builder
	text.WriteString(`{"services":{"chat":{}},"routes":{`)
	for number := range routes {
		_, _ = fmt.Fprintf(&text, `"many-%d":{"order":5,"match":{"service":"chat","origin":"nobody-%d"},"to":{"districts":["north"]}},`, number, number)
	}
	text.WriteString(`"all":{"order":9,"to":{}}}}`)
	return []byte(text.String())
}

// BenchmarkLarge is what a change of a large configuration costs, step by step.
func BenchmarkLarge(benchmark *testing.B) {
	text := large(8000)
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
