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

// process is one role on one machine. When it ends by itself it is started again.
type process struct {
	machine *Machine
	role    Role

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	wanted  bool
}

// restartsAfter is the pause before a process that ended by itself is started again.
const restartsAfter = 300 * time.Millisecond

func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = true
	if p.running() {
		return nil
	}
	return p.launch()
}

// running tells whether the program that was begun last has not ended: two troubles of one
// machine may both bring it up again.
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

// launch begins the program with its settings of this moment.
func (p *process) launch() error {
	path, err := p.machine.write(p.role)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	arguments := p.role.arguments()
	c := exec.Command(arguments[0], arguments[1:]...)
	c.Env = []string{settingsName + "=" + path}
	for _, name := range []string{"PATH", "HOME", "LANG", "GORACE"} {
		c.Env = append(c.Env, name+"="+os.Getenv(name))
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		_ = log.Close()
		return failure.Wrap(failure.Unreachable, err)
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
		p.awaitEnd(c)
	}()
	return nil
}

// awaitEnd starts a process again that ended though it was wanted.
func (p *process) awaitEnd(c *exec.Cmd) {
	p.mutex.Lock()
	own := p.wanted && p.command == c
	p.mutex.Unlock()
	if !own {
		return
	}
	p.machine.day.Events.Append(Event{
		Kind:    EndedByItself,
		Machine: p.machine.Name,
		Cause:   p.role.Name + ": " + c.ProcessState.String(),
	})
	if !sleep(p.machine.day.lifetime, restartsAfter) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.wanted && p.command == c && !p.running() {
		_ = p.launch()
	}
}

func (p *process) log() string {
	return filepath.Join(p.machine.folder, p.role.Name+".log")
}

// logged reads what the process wrote.
func (p *process) logged() string {
	text, _ := os.ReadFile(p.log())
	return string(text)
}

// crashed tells whether the log holds a panic or a race.
func (p *process) crashed() bool {
	text := p.logged()
	return strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic:") || strings.Contains(text, "fatal error:")
}

// unwanted says that the process is to end, and gives what runs.
func (p *process) unwanted() (*exec.Cmd, chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.wanted = false
	return p.command, p.ended
}

func (p *process) kill() {
	c, ended := p.unwanted()
	if c != nil {
		_ = c.Process.Kill()
		<-ended
	}
}

func (p *process) stop(grace time.Duration) {
	c, ended := p.unwanted()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		_ = c.Process.Kill()
		<-ended
	}
}

func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}
