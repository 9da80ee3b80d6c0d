package router

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/membership"
)

// startAlone starts a router whose seeds do not respond.
func startAlone(t *testing.T) *Process {
	t.Helper()
	nodeSettings := settings.Defaults(membership.Router)
	nodeSettings.Name, nodeSettings.Address = "router-1", freeAddress(t)
	nodeSettings.Seeds, nodeSettings.Platform = []string{freeAddress(t)}, freeAddress(t)
	process, err := Start(nodeSettings, log.New(io.Discard), osruntime.NewClock(), Ports{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.tomb.Kill(nil)
		_ = process.tomb.Wait()
	})
	return process
}

// TestMetricsOfEarlierReleasesExist checks that every metric of release facc4d7 still has its name.
func TestMetricsOfEarlierReleasesExist(t *testing.T) {
	process := startAlone(t)
	response, err := http.Get("http://" + process.settings.Address + "/v1/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	earlier, err := os.ReadFile("testdata/facc4d7/metrics.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(earlier)) {
		name, _, _ := strings.Cut(line, " ")
		if !strings.Contains("\n"+string(metrics), "\n"+name+" ") {
			t.Errorf("the metric %s is missing from\n%s", name, metrics)
		}
	}
}
