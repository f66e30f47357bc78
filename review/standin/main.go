// Command standin runs the cases of the review. It starts the project's own programs as separate
// processes, stands in for the platform's store, the workers and the clients, and writes what was
// sent, answered and run to a record.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit ends a case that does not end by itself.
const timeLimit = 100 * time.Second

// scenario plays one case. broken holds what broke the rule.
type scenario func(rec *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"late-copy":      lateCopy,
	"lone-entry":     loneEntry,
	"other-kind":     otherKind,
	"reset-per-host": resetPerHost,
	"foreign-report": foreignReport,
	"frozen-entry":   frozenEntry,
	"cut-body":       cutBody,
}

// current is the fleet that has to be ended with the program.
var current *fleet

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := scenarios[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec := newRecord()
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := play(rec, trouble)
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-results:
	case <-time.After(timeLimit):
		r.err = fmt.Errorf("not done after %v", timeLimit)
	case s := <-signals:
		r.err = fmt.Errorf("ended by %v", s)
	}
	if current != nil {
		current.stop()
	}
	return report(rec, *out, trouble, r.broken, r.err)
}

func report(rec *record, out string, trouble bool, broken []string, err error) int {
	code := 0
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		code = 2
	case len(broken) > 0:
		for _, b := range broken {
			rec.add("BROKEN: %s", b)
		}
		code = 1
	default:
		rec.add("the rule held (disruption: %v)", trouble)
	}
	if err := rec.write(out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Printf("disruption %v: exit %d, %d breaks\n", trouble, code, len(broken))
	for _, b := range broken {
		fmt.Println("  ", b)
	}
	if err != nil {
		fmt.Println("  ", err)
	}
	return code
}
