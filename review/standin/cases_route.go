package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// labelled is a job whose task may run on workers of kind a only.
const labelled = `{"spec":"300","best_effort":true,"steps":[{"count":1,"cpu":3100,"mem_mb":256,"est_runtime_ms":300,"required_label":"a"}]}`

// otherKind cuts the way from the guards to an entry. Behind the cut, the only worker of kind a
// crashes and starts again as one of kind b. A job that requires kind a arrives at the entry.
func otherKind(rec *record, trouble bool) ([]string, error) {
	r := &relay{}
	f, err := begin(rec, fleetSize{entries: 1, kinds: []string{"a", "b"}, relay: r})
	if err != nil {
		return nil, err
	}
	const first, second = "5c0e7a21d94b3601", "5c0e7a21d94b3602"
	e, w := f.entries[0], f.guards[0].worker
	if served := f.call(e, http.MethodPost, first, labelled, clientLimit); served.status != http.StatusOK {
		return nil, fmt.Errorf("a job was answered with %d before the disruption", served.status)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.add("the direction from the guards to %s is cut", e.name)
		r.setCut(true, toDialed)
	}
	w.crash()
	time.Sleep(time.Second)
	w.reboot("b")
	time.Sleep(time.Second)
	f.call(e, http.MethodPost, second, labelled, clientLimit)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		r.setCut(false, toDialed)
		rec.add("the cut heals")
	}
	time.Sleep(3 * time.Second)
	var broken []string
	for _, id := range []string{first, second} {
		for _, s := range rec.startsOf(id) {
			if s.kind != "a" {
				broken = append(broken, fmt.Sprintf("ROUTE: task %s run %d starts at %s of kind %s, its required_label is a", s.task, s.run, s.worker, s.kind))
			}
		}
	}
	return broken, nil
}

// spreadJob has six tasks, of which one may run on each worker.
const spreadJob = `{"spec":"900","best_effort":true,"steps":[{"count":6,"cpu":3100,"mem_mb":256,"est_runtime_ms":900,"max_per_server":1}]}`

// resetPerHost resets the channels of an entry while a job with max_per_server runs.
func resetPerHost(rec *record, trouble bool) ([]string, error) {
	r := &relay{}
	f, err := begin(rec, fleetSize{entries: 1, kinds: []string{"a", "a", "b"}, relay: r})
	if err != nil {
		return nil, err
	}
	const id, limit = "5c0e7a21d94b3603", 10 * time.Second
	posted := f.callLater(f.entries[0], http.MethodPost, id, spreadJob, limit)
	time.Sleep(400 * time.Millisecond)
	if len(rec.startsOf(id)) == 0 {
		return nil, errors.New("the job has not started")
	}
	if trouble {
		rec.add("the channels between the guards and %s are reset", f.entries[0].name)
		r.reset()
	}
	<-posted
	var broken []string
	for _, s := range rec.startsOf(id) {
		if len(s.beside) > 0 {
			broken = append(broken, fmt.Sprintf("ROUTE: task %s run %d starts at %s beside %v, max_per_server is 1", s.task, s.run, s.worker, s.beside))
		}
	}
	return broken, nil
}
