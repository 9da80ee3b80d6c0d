package daemon

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestSignalsReloadAndEnd checks that SIGHUP and a changed settings file each cause a reload, and that SIGTERM ends
// Wait.
func TestSignalsReloadAndEnd(t *testing.T) {
	signals := CatchSignals()
	// This signal arrives before Wait is called, as in a process that is still starting.
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
	awaitReload := func(cause string) {
		t.Helper()
		select {
		case <-reloads:
		case <-time.After(4 * filePollInterval):
			t.Fatal("got no reload after " + cause)
		}
	}
	awaitReload("a signal before Wait")
	if err := os.WriteFile(file, []byte("{ }"), 0o644); err != nil {
		t.Fatal(err)
	}
	awaitReload("a change of the file without a signal")
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !<-ended {
		t.Error("Wait returned false after SIGTERM, want true")
	}
}

func TestWaitReturnsFalseWhenProcessEndsByItself(t *testing.T) {
	dead := make(chan struct{})
	close(dead)
	if CatchSignals().Wait(dead, "", func() {}) {
		t.Error("Wait returned true without a signal, want false")
	}
}

// TestSignalsStayCaughtDuringDrain sends signals after Wait has returned, while the process would drain. Their
// default action would kill the process before its requests in flight have finished.
func TestSignalsStayCaughtDuringDrain(t *testing.T) {
	// This channel keeps the signals from killing the test process if Signals no longer catches them.
	fallback := make(chan os.Signal, 8)
	signal.Notify(fallback, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(fallback)
	signals := CatchSignals()
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !signals.Wait(nil, "", func() {}) {
		t.Fatal("Wait returned false after SIGTERM, want true")
	}
	for _, late := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		if err := syscall.Kill(os.Getpid(), late); err != nil {
			t.Fatal(err)
		}
		select {
		case caught := <-signals.caught:
			if caught != late {
				t.Errorf("caught %v, want %v", caught, late)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%v was not caught after Wait had returned", late)
		}
	}
}
