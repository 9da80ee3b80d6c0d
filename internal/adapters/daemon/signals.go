package daemon

import (
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Signals receives the signals that a process handles. The signals stay caught from the start of the
// process to its exit: their default action would kill a process that is still starting, or one that is
// still serving requests in flight after it was asked to terminate.
type Signals struct {
	caught chan os.Signal
}

// CatchSignals begins to catch signals. A process calls it before anything else.
func CatchSignals() *Signals {
	signals := &Signals{caught: make(chan os.Signal, 8)}
	signal.Notify(signals.caught, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	return signals
}

// filePollInterval is the time between two checks of the settings file for changes.
const filePollInterval = 3 * time.Second

// Wait handles signals until the process is to terminate. It calls reload on SIGHUP and, if file is not
// empty, whenever a poll of that settings file finds it changed (a missing file is ignored). It reports
// whether a signal ended the wait: true on SIGTERM and SIGINT, and false when dead is closed because the
// process ended by itself. Signals that arrive after Wait has returned have no effect: the process
// terminates within its grace period.
func (s *Signals) Wait(dead <-chan struct{}, file string, reload func()) bool {
	var polls <-chan time.Time
	known := statFile(file)
	if file != "" {
		ticker := time.NewTicker(filePollInterval)
		defer ticker.Stop()
		polls = ticker.C
	}
	for {
		select {
		case <-dead:
			return false
		case caught := <-s.caught:
			if caught != syscall.SIGHUP {
				return true
			}
			known = statFile(file)
			reload()
		case <-polls:
			if current := statFile(file); current != known && current != (fileState{}) {
				known = current
				reload()
			}
		}
	}
}

// fileState is the metadata by which a changed file is detected without reading its content.
type fileState struct {
	modTime time.Time
	size    int64
}

// statFile returns the state of a file. It returns the zero value if the path is empty or the file's metadata
// cannot be read.
func statFile(file string) fileState {
	if file == "" {
		return fileState{}
	}
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{modTime: info.ModTime(), size: info.Size()}
}

// Wait calls CatchSignals and then Signals.Wait, for a process without a settings file. It reports whether a
// signal ended the wait.
func Wait(dead <-chan struct{}, reload func()) bool {
	return CatchSignals().Wait(dead, "", reload)
}
