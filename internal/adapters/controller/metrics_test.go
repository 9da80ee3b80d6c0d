package controller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/charmbracelet/log"

	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/adapters/storage"
	"seamloom.example/seamloom/internal/membership"
)

// freeAddress returns an address on which nothing listens. Its loopback IP is that of this process alone: at 127.0.0.1
// an outgoing connection of any process may get the port before the test listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// startBlank starts a controller that has an empty data folder and knows no other controller.
func startBlank(t *testing.T) *Process {
	t.Helper()
	nodeSettings := settings.Defaults(membership.Controller)
	nodeSettings.Name, nodeSettings.Address, nodeSettings.DataFolder = "controller-1", freeAddress(t), t.TempDir()
	nodeSettings.Seeds, nodeSettings.Platform = []string{nodeSettings.Address}, freeAddress(t)
	process, err := Start(nodeSettings, log.New(io.Discard), storage.OSDisk{}, osruntime.NewClock(), Ports{})
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
	process := startBlank(t)
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
