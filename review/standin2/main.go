// Command standin2 runs the cases of the second review. Each case starts the project's programs as
// separate processes on loopback addresses, together with stand-ins for the platform's store, the
// workers, the clients and a proxy, and checks one rule from what these observe.
//
// Usage: standin2 CASE RECORD. The exit status is 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld    = 0
	statusBroken  = 1
	statusFailed  = 2
	maxCaseLength = 110 * time.Second
)

// errBroken reports that the rule of a case was broken.
var errBroken = errors.New("rule broken")

// caseFunc runs one case. It returns an error that wraps errBroken if the rule was broken, and any
// other error if the case could not run.
type caseFunc func(f *fleet, trouble bool) error

var cases = map[string]caseFunc{
	"twice":    runTwice,
	"recover":  runRecover,
	"capacity": runCapacity,
	"cancel":   runCancel,
	"added":    runAdded,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return statusFailed
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.logf("result", "could not run: %v", err)
		return statusFailed
	}
	defer f.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case", "%s, trouble %v", os.Args[1], trouble)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](f, trouble) }()
	select {
	case err = <-done:
	case <-time.After(maxCaseLength):
		err = errors.New("the case took too long")
	}
	switch {
	case errors.Is(err, errBroken):
		rec.logf("result", "%v", err)
		return statusBroken
	case err != nil:
		rec.logf("result", "could not run: %v", err)
		return statusFailed
	}
	rec.logf("result", "rule held")
	return statusHeld
}
