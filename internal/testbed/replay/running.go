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
		for _, p := range machine.processes {
			p.mutex.Lock()
			c, ended := p.command, p.ended
			p.mutex.Unlock()
			if c == nil {
				continue
			}
			select {
			case <-ended:
			default:
				running = append(running, Running{Machine: machine.Name, Role: p.role.Name, Number: c.Process.Pid})
			}
		}
	}
	return running
}
