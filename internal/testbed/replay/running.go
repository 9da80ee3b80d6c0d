package replay

// Running is one process of a day: its machine, its role, and its number.
type Running struct {
	Machine string
	Role    string
	Number  int
}

// Running lists the processes of all machines that have not ended.
func (day *Day) Running() []Running {
	var running []Running
	for _, machine := range day.all() {
		for _, process := range machine.processes {
			process.mutex.Lock()
			command, ended := process.command, process.ended
			process.mutex.Unlock()
			if command == nil {
				continue
			}
			select {
			case <-ended:
			default:
				running = append(running, Running{Machine: machine.Name, Role: process.role.Name, Number: command.Process.Pid})
			}
		}
	}
	return running
}
