package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the pages.
const (
	cancelTime  = 3 * time.Second         // cancel_ms
	contactTime = 3 * time.Second         // contact_ms
	clientLimit = 1500 * time.Millisecond // time limit of the requests on the sheets
)

func begin(rec *record, size fleetSize) (*fleet, error) {
	f, err := newFleet(rec, size)
	current = f
	return f, err
}

// bookingJob is a job like the largest on the sheets: four tasks of 0.9 s.
const bookingJob = `{"spec":"900","best_effort":true,"steps":[{"count":4,"cpu":3100,"mem_mb":256,"est_runtime_ms":900}]}`

// lateCopy cancels a job, and has a copy of its request arrive some seconds after the answers, once at
// the entry that had the job and once at another.
func lateCopy(rec *record, trouble bool) ([]string, error) {
	f, err := begin(rec, fleetSize{entries: 2, kinds: []string{"a", "a", "b"}})
	if err != nil {
		return nil, err
	}
	var broken []string
	for i, copyTo := range f.entries {
		id := fmt.Sprintf("5c0e7a21d94b36f%d", i)
		posted := f.callLater(f.entries[0], http.MethodPost, id, bookingJob, clientLimit)
		time.Sleep(300 * time.Millisecond)
		if len(rec.startsOf(id)) == 0 {
			return nil, errors.New("the job has not started")
		}
		cancelled := f.call(f.entries[1], http.MethodDelete, id, "", clientLimit)
		if cancelled.status != http.StatusOK {
			return nil, fmt.Errorf("the cancel was answered with %d", cancelled.status)
		}
		if first := <-posted; first.status != http.StatusOK || !strings.Contains(first.body, "cancelled") {
			return nil, fmt.Errorf("the job was answered with %d %s", first.status, first.body)
		}
		time.Sleep(4 * time.Second)
		if trouble {
			rec.add("a copy of the request for %s arrives, %.1f s after the cancel was acknowledged", id, time.Since(cancelled.at).Seconds())
			second := f.call(copyTo, http.MethodPost, id, bookingJob, clientLimit)
			rec.add("the copy was answered with %d %s", second.status, second.body)
		}
		time.Sleep(time.Second)
		broken = append(broken, startsAfterCancel(rec, id, cancelled.at.Add(cancelTime))...)
	}
	// A job that nobody cancels is served all the same.
	if served := f.call(f.entries[0], http.MethodPost, "5c0e7a21d94b36ff", bookingJob, clientLimit); served.status != http.StatusOK {
		return nil, fmt.Errorf("another job was answered with %d", served.status)
	}
	return broken, nil
}

// startsAfterCancel returns the starts of a cancelled job's tasks after a time.
func startsAfterCancel(rec *record, id string, latest time.Time) (broken []string) {
	for _, s := range rec.startsOf(id) {
		if s.at.After(latest) {
			broken = append(broken, fmt.Sprintf("UNASKED: task %s run %d starts at %s %.3f s after the last moment allowed", s.task, s.run, s.worker, s.at.Sub(latest).Seconds()))
		}
	}
	return broken
}

// chainJob has steps that run one after the other, a task of the given time in milliseconds each.
func chainJob(steps, ms int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"spec":"%d","best_effort":true,"steps":[`, ms)
	for i := range steps {
		if i > 0 {
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"count":1,"cpu":3100,"mem_mb":256,"est_runtime_ms":%d`, ms)
		if i > 0 {
			fmt.Fprintf(&b, `,"after":[%d]`, i-1)
		}
		b.WriteString("}")
	}
	b.WriteString("]}")
	return b.String()
}

// loneEntry has the store turn an entry away while the entry is stopped and started again as planned. The
// entry is ready again, and is asked to cancel a job that runs at another entry. Then the store serves it.
func loneEntry(rec *record, trouble bool) ([]string, error) {
	f, err := begin(rec, fleetSize{entries: 3, kinds: []string{"a", "a", "b"}})
	if err != nil {
		return nil, err
	}
	const id, limit = "5c0e7a21d94b36f8", 30 * time.Second
	at, other := f.entries[0], f.entries[1]
	turnedAway := time.Now()
	if trouble {
		rec.add("the store turns %s away", other.name)
		other.gate.refused.Store(true)
	}
	rec.add("%s gets SIGTERM", other.name)
	if err := f.restart(&other.process); err != nil {
		return nil, err
	}
	rec.add("%s is started again", other.name)
	if err := f.waitReady(other); err != nil {
		return nil, err
	}
	if !trouble {
		time.Sleep(time.Second) // it has read the list of entries
	}
	posted := f.callLater(at, http.MethodPost, id, chainJob(14, 900), limit)
	time.Sleep(time.Second)
	if len(rec.startsOf(id)) == 0 {
		return nil, errors.New("the job has not started")
	}
	cancelled := f.call(other, http.MethodDelete, id, "", clientLimit)
	if trouble {
		other.gate.refused.Store(false)
		rec.add("the store serves %s again, after %.1f s", other.name, time.Since(turnedAway).Seconds())
	}
	healed := time.Now()
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		rec.add("the cancel was not acknowledged")
		return nil, nil
	}
	select {
	case <-posted:
	case <-time.After(14 * time.Second):
	}
	latest := cancelled.at.Add(cancelTime)
	if inTouch := healed.Add(contactTime); inTouch.After(latest) {
		latest = inTouch // only starts by machines that are in touch count
	}
	return startsAfterCancel(rec, id, latest), nil
}
