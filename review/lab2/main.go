package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*fleet) (held bool, err error){}

// main plays a case: lab2 NAME FOLDER, or runs a stand-in: lab2 server FLAGS or
// lab2 store FLAGS.
func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		os.Exit(runServer(os.Args[2:]))
	}
	if len(os.Args) > 1 && os.Args[1] == "store" {
		os.Exit(runStore(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE FOLDER")
		os.Exit(exitCannot)
	}
	os.Exit(play(os.Args[2], cases[os.Args[1]]))
}

func play(dir string, run func(*fleet) (bool, error)) int {
	f, err := newFleet(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer f.close()
	go func() {
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		f.logf("the case was ended")
		f.close()
		os.Exit(exitCannot)
	}()
	held, err := run(f)
	switch {
	case err != nil:
		f.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	case !held:
		f.logf("result: the rule was broken")
		return exitBroken
	}
	f.logf("result: the rule held")
	return exitHeld
}
