// Program standin-2 plays the cases of the second review: it starts the deploy file's programs on loopback
// addresses, with stand-ins for the platform, the operator, the clients and the model servers. It exits with 1 if
// the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. A case returns a description of what broke the rule, empty if the rule held.
var cases = map[string]func(f *fleet, disrupted bool) (string, error){
	"extra-answer": extraAnswer,
	"silence":      silence,
	"takeover":     takeover,
}

func main() { os.Exit(play()) }

// play plays the case that the flags name and returns the exit code.
func play() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	run, found := cases[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	file, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, began: time.Now(), runs: map[string][]string{}}
	f, err := newFleet(*root, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	ended := make(chan int, 1)
	go func() {
		broken, err := run(f, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.add("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, err)
			ended <- 2
		case broken != "":
			rec.add("rule broken: %s", broken)
			fmt.Println("rule broken:", broken)
			ended <- 1
		default:
			rec.add("the rule held")
			fmt.Println("the rule held")
			ended <- 0
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code := <-ended:
		return code
	case <-interrupted:
	case <-time.After(110 * time.Second):
		rec.add("the case took too long")
	}
	return 2
}
