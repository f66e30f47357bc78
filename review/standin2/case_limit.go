package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// stopTime is how long a stop takes in the case, at most stop_ms (50).
const stopTime = 45 * time.Millisecond

// runPerServer resets the links between the entry and its guards while a step waits for room under its
// max_per_server.
func runPerServer(f *fleet, trouble bool) error {
	if err := f.setConfig(1, 8000, true); err != nil {
		return err
	}
	entry, err := f.startEntry("entry-1", "zone-a")
	if err != nil {
		return err
	}
	for _, name := range []string{"1", "2"} {
		s, err := f.startSide(name, "zone-a", "a", 32000, entry)
		if err != nil {
			return err
		}
		s.worker.stopTime = stopTime
	}
	if err := f.waitReady(entry); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	const limit = 2
	most := 0
	for _, w := range f.workers {
		w.onStart = func(w *worker, r *workerRun) {
			n := 0
			for task := range w.boot.active {
				if strings.HasPrefix(task, r.task[:strings.LastIndex(r.task, ".")+1]) {
					n++
				}
			}
			most = max(most, n)
			f.rec.logf(w.name, "%d tasks of the step of %s are active", n, r.task)
		}
	}
	for i := range 5 {
		id := fmt.Sprintf("00000000000000c%d", i)
		answered := make(chan int, 1)
		go func() {
			status, _ := f.submit(entry, id, step{Count: 8, CPU: 1000, MemMB: 64, EstRuntimeMs: 700, MaxPerServer: limit}, 700, longLimit)
			answered <- status
		}()
		time.Sleep(300 * time.Millisecond)
		if trouble {
			entry.proxy.reset()
			f.rec.logf("proxy", "resets all connections")
		}
		<-answered
	}
	if f.workers[0].runsOf("00000000000000c")+f.workers[1].runsOf("00000000000000c") == 0 {
		return errors.New("nothing has run")
	}
	if most > limit {
		return fmt.Errorf("%w: %d tasks of a step with max_per_server %d were active at one worker", errBroken, most, limit)
	}
	return nil
}
