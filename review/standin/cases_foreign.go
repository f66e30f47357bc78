package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const drainTime = 2 * time.Second // drain_ms

// foreignReport has another writer send one report with the id of a worker, without the field labels and
// with a higher number than the worker's own. Later the worker drains, and jobs arrive.
func foreignReport(rec *record, trouble bool) ([]string, error) {
	f, err := begin(rec, fleetSize{entries: 2, kinds: []string{"a"}})
	if err != nil {
		return nil, err
	}
	w := f.guards[0].worker
	if trouble {
		w.mu.Lock()
		id, fields := w.id, w.reportFields(100_000)
		w.mu.Unlock()
		delete(fields, "labels")
		rec.add("another writer sends a report of %s without labels, the answer is %d", id, w.sendReport(id, fields))
	}
	time.Sleep(2 * reportInterval)
	if !w.drain() {
		return nil, errors.New("the drain was not acknowledged")
	}
	latest := time.Now().Add(drainTime)
	time.Sleep(drainTime + time.Second)
	const id = "5c0e7a21d94b3604"
	f.call(f.entries[0], http.MethodPost, id, bookingJob, clientLimit)
	var broken []string
	for _, s := range rec.startsOf(id) {
		if s.at.After(latest) {
			broken = append(broken, fmt.Sprintf("DRAIN: task %s starts at %s %.3f s after the last moment allowed", s.task, s.worker, s.at.Sub(latest).Seconds()))
		}
	}
	return broken, nil
}
