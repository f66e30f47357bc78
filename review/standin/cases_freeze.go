package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// frozenEntry freezes an entry for 2 s. Meanwhile a client sends it a job, and cancels the job 0.5 s
// later.
func frozenEntry(rec *record, trouble bool) ([]string, error) {
	f, err := begin(rec, fleetSize{entries: 3, kinds: []string{"a", "a", "b"}})
	if err != nil {
		return nil, err
	}
	const id, limit = "5c0e7a21d94b36f9", 30 * time.Second
	e := f.entries[0]
	if trouble {
		if err := e.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
			return nil, err
		}
		rec.add("%s freezes", e.name)
		time.AfterFunc(2*time.Second, func() {
			rec.add("%s wakes", e.name)
			_ = e.cmd.Process.Signal(syscall.SIGCONT) // the process has not ended
		})
	}
	time.Sleep(500 * time.Millisecond)
	posted := f.callLater(e, http.MethodPost, id, chainJob(14, 900), limit)
	time.Sleep(500 * time.Millisecond)
	cancelled := f.call(e, http.MethodDelete, id, "", 5*time.Second)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return nil, fmt.Errorf("the cancel was answered with %d", cancelled.status)
	}
	select {
	case <-posted:
	case <-time.After(14 * time.Second):
	}
	return startsAfterCancel(rec, id, cancelled.at.Add(max(cancelTime, contactTime)+100*time.Millisecond)), nil
}
