package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the pages, and the length of the cut.
const (
	visibleTime = 3 * time.Second // visible_ms
	cutTime     = 11500 * time.Millisecond
)

// largeJob is a job of many steps, whose body takes several packets. It has to be kept: it is not best
// effort.
func largeJob(steps int) string {
	return strings.Replace(chainJob(steps), `"best_effort":true,`, "", 1)
}

// cutBody cuts the link between a client and an entry while a request is on its way. The client waits.
// After the cut it asks for the job that was confirmed.
func cutBody(rec *record, trouble bool) ([]string, error) {
	f, err := begin(rec, fleetSize{entries: 2, kinds: []string{"a", "a", "b"}})
	if err != nil {
		return nil, err
	}
	e := f.entries[0]
	r := &relay{onCut: func() { rec.add("the link between the client and %s is cut", e.name) }}
	if err := r.listen(loopback(30), e.frontend); err != nil {
		return nil, err
	}
	reached := *e
	reached.frontend = r.address
	const id = "5c0e7a21d94b36f7"
	if trouble {
		r.cutAfter = 4 << 10
		time.AfterFunc(cutTime, func() {
			r.setCut(false, toDialed, toDialer)
			rec.add("the cut heals")
		})
	}
	posted := f.call(&reached, http.MethodPost, id, largeJob(200), 30*time.Second)
	if posted.status < 200 || posted.status > 299 {
		rec.add("the job was not accepted")
		return nil, nil
	}
	time.Sleep(visibleTime + contactTime + time.Second)
	var broken []string
	for _, at := range f.entries {
		if got := f.call(at, http.MethodGet, id, "", clientLimit); got.status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: the job %s was answered with %d, and %.1f s later %s answers 410; %d of its tasks have started",
				id, posted.status, got.at.Sub(posted.at).Seconds(), at.name, len(rec.startsOf(id))))
		}
	}
	return broken, nil
}
