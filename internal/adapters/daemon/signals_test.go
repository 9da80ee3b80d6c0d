package daemon

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSignalsReloadAndEnd sends signals to the test's own process.
func TestSignalsReloadAndEnd(t *testing.T) {
	signals := CatchSignals()
	// This one comes while the process still starts.
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	reloads := make(chan struct{}, 8)
	ended := make(chan bool)
	file := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(file, []byte("{}"), 0o644); err != nil {
		t.Fatal(err)
	}
	go func() { ended <- signals.Wait(nil, file, func() { reloads <- struct{}{} }) }()
	await := func(what string) {
		t.Helper()
		select {
		case <-reloads:
		case <-time.After(4 * filePollInterval):
			t.Fatal("no reload after " + what)
		}
	}
	await("a signal at the start")
	if err := os.WriteFile(file, []byte("{ }"), 0o644); err != nil {
		t.Fatal(err)
	}
	await("a change without a signal")
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !<-ended {
		t.Error("a signal to end is no end by itself")
	}
}

func TestProcessThatEndsByItself(t *testing.T) {
	dead := make(chan struct{})
	close(dead)
	if CatchSignals().Wait(dead, "", func() {}) {
		t.Error("nobody asked it to end")
	}
}

// TestSignalsStayCaughtAfterTheEndBegan sends, while the process drains, what would end
// it by default.
func TestSignalsStayCaughtAfterTheEndBegan(t *testing.T) {
	// Without the process's own care these would end the test itself.
	others := make(chan os.Signal, 8)
	signal.Notify(others, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(others)
	signals := CatchSignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !signals.Wait(nil, "", func() {}) {
		t.Fatal("a signal to end is no end by itself")
	}
	for _, late := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		if err := syscall.Kill(os.Getpid(), late); err != nil {
			t.Fatal(err)
		}
		select {
		case caught := <-signals.caught:
			if caught != late {
				t.Errorf("%v was caught instead of %v", caught, late)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%v is not caught any more", late)
		}
	}
}
