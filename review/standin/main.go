// Command standin holds the stand-ins of the review's scripts: model servers, the platform's list of
// servers, an operator and clients. "standin server" runs one model server as a process of its own, so
// that it can be killed. "standin case N" plays case N and exits with 1 if its rule was broken, with 0
// if the rule held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin server|case ...")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "server":
		runServer(os.Args[2:])
	case "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		fmt.Fprintln(os.Stderr, "unknown command "+os.Args[1])
		os.Exit(exitNotRun)
	}
}
