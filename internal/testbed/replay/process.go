package replay

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// process runs one role on one machine. It is started again if it exits by itself.
type process struct {
	machine *Machine
	role    Role

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// wanted means that the process should be running: it was started, and not killed or stopped.
	wanted bool
}

// restartDelay is the pause before a process that exited by itself is started again.
const restartDelay = 300 * time.Millisecond

// start starts the process unless it is running.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = true
	if p.running() {
		return nil
	}
	return p.launch()
}

// running reports whether the program that was started last is still running. Two faults on one
// machine may both start the program again, so the second start must do nothing.
func (p *process) running() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// launch starts the program with the current settings.
func (p *process) launch() error {
	path, err := p.machine.writeSettings(p.role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	arguments := p.role.arguments()
	cmd := exec.Command(arguments[0], arguments[1:]...)
	cmd.Env = []string{settingsName + "=" + path}
	for _, name := range []string{"PATH", "HOME", "LANG", "GORACE"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return failure.Wrap(failure.Unreachable, err)
	}
	ended := make(chan struct{})
	p.command, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
		p.restartIfWanted(cmd)
	}()
	return nil
}

// restartIfWanted starts a process again after its end, unless it was killed or stopped.
func (p *process) restartIfWanted(cmd *exec.Cmd) {
	p.mutex.Lock()
	current := p.wanted && p.command == cmd
	p.mutex.Unlock()
	if !current {
		return
	}
	p.machine.day.Events.Append(Event{
		Kind:    ProcessExited,
		Machine: p.machine.Name,
		Cause:   p.role.Name + ": " + cmd.ProcessState.String(),
	})
	if !sleep(p.machine.day.lifetime, restartDelay) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wanted && p.command == cmd && !p.running() {
		_ = p.launch()
	}
}

// logPath returns the path of the log file.
func (p *process) logPath() string {
	return filepath.Join(p.machine.folder, p.role.Name+".log")
}

// readLog returns the content of the log file.
func (p *process) readLog() string {
	text, _ := os.ReadFile(p.logPath())
	return string(text)
}

// crashed reports whether the log contains a panic, a fatal error or a data race.
func (p *process) crashed() bool {
	text := p.readLog()
	return strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") || strings.Contains(text, "fatal error:")
}

// markUnwanted records that the process should no longer run. It returns the last command and the
// channel that is closed when the command ends.
func (p *process) markUnwanted() (*exec.Cmd, chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = false
	return p.command, p.ended
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	cmd, ended := p.markUnwanted()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-ended
	}
}

// stop sends SIGTERM to the process, sends SIGKILL after the grace period, and waits for the end.
func (p *process) stop(grace time.Duration) {
	cmd, ended := p.markUnwanted()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		_ = cmd.Process.Kill()
		<-ended
	}
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}
