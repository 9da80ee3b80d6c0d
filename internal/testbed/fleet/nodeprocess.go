package fleet

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/membership"
)

// NodeProcess is one courier or expediter as a process of its own.
type NodeProcess struct {
	Node     membership.Node
	binary   string
	folder   string
	settings map[string]any
	staged   bool

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

var probe = &http.Client{Timeout: 700 * time.Millisecond}

// Begin starts the process with its settings file; its log goes to a file.
func (node *NodeProcess) Begin() error {
	if err := node.WriteSettings(); err != nil {
		return err
	}
	settingsPath := node.settingsPath()
	logFile, err := os.OpenFile(node.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return failure.Wrap(failure.Disk, err)
	}
	command := exec.Command(node.binary, "serve", "--settings", settingsPath)
	if node.staged {
		command = exec.Command(filepath.Join(filepath.Dir(node.binary), "testbed"), "script-"+ProgramName(node.Node.Kind), "--settings", settingsPath, "--faults", node.faultsPath())
	}
	command.Stdout, command.Stderr = logFile, logFile
	// The node ends with the rehearsal, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = logFile.Close()
		return failure.Wrap(failure.Unreachable, err)
	}
	ended := make(chan struct{})
	node.mutex.Lock()
	node.command, node.ended = command, ended
	node.mutex.Unlock()
	go func() {
		_ = command.Wait()
		_ = logFile.Close()
		close(ended)
	}()
	return nil
}

func (node *NodeProcess) settingsPath() string {
	return filepath.Join(node.folder, node.Node.Name+".json")
}

// WriteSettings writes the settings file, which a running process reads again
// at SIGHUP.
func (node *NodeProcess) WriteSettings() error {
	text, err := json.MarshalIndent(node.settings, "", "  ")
	if err != nil {
		return failure.Wrap(failure.Malformed, err)
	}
	return failure.Wrap(failure.Disk, os.WriteFile(node.settingsPath(), text, 0o644))
}

// LogPath is the file that the process logs to.
func (node *NodeProcess) LogPath() string {
	return filepath.Join(node.folder, node.Node.Name+".log")
}

func (node *NodeProcess) faultsPath() string {
	return filepath.Join(node.folder, node.Node.Name+".faults")
}

// SetFaults tells a staged node the faults of its disk and clock.
func (node *NodeProcess) SetFaults(faults NodeFaults) error { return faults.Write(node.faultsPath()) }

// Running tells whether the process has not ended.
func (node *NodeProcess) Running() bool {
	_, ended := node.present()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// present is the process that was begun last, and what is closed at its end.
func (node *NodeProcess) present() (*exec.Cmd, <-chan struct{}) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.ended == nil {
		never := make(chan struct{})
		close(never)
		return nil, never
	}
	return node.command, node.ended
}

// Signal sends the process a signal.
func (node *NodeProcess) Signal(signal syscall.Signal) {
	if command, _ := node.present(); node.Running() {
		_ = command.Process.Signal(signal)
	}
}

// Number is the running process's number, or zero.
func (node *NodeProcess) Number() int {
	if command, _ := node.present(); node.Running() {
		return command.Process.Pid
	}
	return 0
}

// Kill ends the process at once and waits until it is gone.
func (node *NodeProcess) Kill() {
	if command, ended := node.present(); node.Running() {
		_ = command.Process.Kill()
		<-ended
	}
}

// Stop asks the process to drain, and waits for its end.
func (node *NodeProcess) Stop(patience time.Duration) bool {
	if !node.Running() {
		return true
	}
	command, ended := node.present()
	_ = command.Process.Signal(syscall.SIGTERM)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		node.Kill()
		return false
	}
}

// WipeDisk takes the whole data folder away; the process must have ended.
func (node *NodeProcess) WipeDisk() error {
	folder, found := node.settings["data_folder"].(string)
	if !found || !strings.HasPrefix(folder, node.folder) {
		return failure.New(failure.Missing, "the node has no disk")
	}
	return failure.Wrap(failure.Disk, os.RemoveAll(folder))
}

// Set changes a setting for the next start.
func (node *NodeProcess) Set(name string, value any) { node.settings[name] = value }

// Ready asks the process whether it is ready.
func (node *NodeProcess) Ready() bool {
	inbound, err := probe.Get("http://" + node.Node.Address + "/v1/ready")
	if err != nil {
		return false
	}
	_ = inbound.Body.Close()
	return inbound.StatusCode == http.StatusOK
}

// ReadJSON reads one of the process's pages.
func (node *NodeProcess) ReadJSON(path string, target any) (int, error) {
	inbound, err := probe.Get("http://" + node.Node.Address + path)
	if err != nil {
		return 0, failure.Wrap(failure.Unreachable, err)
	}
	defer func() { _ = inbound.Body.Close() }()
	return inbound.StatusCode, failure.Wrap(failure.Garbage, json.NewDecoder(inbound.Body).Decode(target))
}

// Metric reads one of the process's metrics; -1 when it can't be had.
func (node *NodeProcess) Metric(name string) int {
	inbound, err := probe.Get("http://" + node.Node.Address + "/v1/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = inbound.Body.Close() }()
	lines := bufio.NewScanner(inbound.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			number, err := strconv.Atoi(value)
			if err == nil {
				return number
			}
		}
	}
	return -1
}

// ProgramName is the program that runs nodes of a kind. Kinds keep the names that they
// have on wires and on disk.
func ProgramName(kind membership.NodeKind) string {
	if kind == membership.Controller {
		return "controller"
	}
	return "router"
}

// Program is the path of the program for a kind of node in a folder of binaries. Releases
// before the programs were renamed called each by its kind.
func Program(folder string, kind membership.NodeKind) string {
	program := filepath.Join(folder, ProgramName(kind))
	if _, err := os.Stat(program); err == nil {
		return program
	}
	former := filepath.Join(folder, string(kind))
	if _, err := os.Stat(former); err == nil {
		return former
	}
	return program
}
