package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the pages, and the length of the cut.
const (
	visibleTime = 3 * time.Second // visible_ms
	cutTime     = 11500 * time.Millisecond
)

// cutBody cuts the link between clients and an entry while two requests are on their way: a job that has
// to be kept, and one that does not. The clients wait. After the cut, the job that was confirmed is asked
// for.
func cutBody(rec *record, trouble bool) ([]string, error) {
	f, err := begin(rec, fleetSize{entries: 2, kinds: []string{"a", "a", "b"}})
	if err != nil {
		return nil, err
	}
	const kept, passing, limit = "5c0e7a21d94b36f7", "5c0e7a21d94b36f6", 30 * time.Second
	large := chainJob(200, 50) // its body takes several packets
	var keptAnswer, passingAnswer answer
	var all sync.WaitGroup
	all.Go(func() {
		body := strings.Replace(large, `"best_effort":true,`, "", 1)
		keptAnswer = f.callOverCutLink(f.entries[0], trouble, kept, body, limit)
	})
	all.Go(func() { passingAnswer = f.callOverCutLink(f.entries[0], trouble, passing, large, limit) })
	all.Wait()
	rec.add("best-effort job %s: answered %d %q, %d of its tasks have started", passing, passingAnswer.status, passingAnswer.body, len(rec.startsOf(passing)))
	if keptAnswer.status < 200 || keptAnswer.status > 299 {
		rec.add("the job %s was not accepted", kept)
		return nil, nil
	}
	time.Sleep(visibleTime + contactTime + time.Second)
	var broken []string
	for _, at := range f.entries {
		if got := f.call(at, http.MethodGet, kept, "", clientLimit); got.status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: the job %s was answered with %d, and %.1f s later %s answers 410; %d of its tasks have started",
				kept, keptAnswer.status, got.at.Sub(keptAnswer.at).Seconds(), at.name, len(rec.startsOf(kept))))
		}
	}
	return broken, nil
}

// callOverCutLink posts a job to an entry. If isCut is set, the link is cut for cutTime as soon as the
// first 4 KB of the request have passed.
func (f *fleet) callOverCutLink(e *entry, isCut bool, id, body string, limit time.Duration) answer {
	r := &relay{onCut: func() { f.rec.add("the link between the client of %s and %s is cut", id, e.name) }}
	if err := r.listen(e.host, e.frontend); err != nil {
		f.rec.add("no relay: %v", err)
		return answer{}
	}
	if isCut {
		r.cutAfter = 4 << 10
		time.AfterFunc(cutTime, func() {
			r.setCut(false, toDialed, toDialer)
			f.rec.add("the link between the client of %s and %s works again", id, e.name)
		})
	}
	reached := *e
	reached.frontend = r.address
	return f.call(&reached, http.MethodPost, id, body, limit)
}
