package batch

import (
	"container/list"
	"time"
)

// Limits of CancelledJobs.
const (
	// cancelRecordAge is how long a cancelled ID is recorded. A copy of a request may arrive seconds after
	// the response, and later still if a network partition delays it.
	cancelRecordAge = 30 * time.Second
	// maxCancelledJobs bounds the memory of the record.
	maxCancelledJobs = 16384
)

// CancelledJobs records the IDs of cancelled jobs for cancelRecordAge. It is not safe for concurrent use; the
// zero value is empty.
type CancelledJobs struct {
	byAge    list.List                // of cancelledJob, oldest first
	elements map[string]*list.Element // of byAge, by job ID
}

type cancelledJob struct {
	id string
	at time.Duration
}

// Add records an ID. It reports false, and records nothing, if the record is full: dropping another ID
// would break the acknowledgement of its cancellation.
func (c *CancelledJobs) Add(now time.Duration, id string) bool {
	c.expire(now)
	if element := c.elements[id]; element != nil {
		element.Value = cancelledJob{id: id, at: now}
		c.byAge.MoveToBack(element)
		return true
	}
	if len(c.elements) >= maxCancelledJobs {
		return false
	}
	if c.elements == nil {
		c.elements = make(map[string]*list.Element)
	}
	c.elements[id] = c.byAge.PushBack(cancelledJob{id: id, at: now})
	return true
}

// Has reports whether an ID is recorded.
func (c *CancelledJobs) Has(now time.Duration, id string) bool {
	c.expire(now)
	return c.elements[id] != nil
}

// IDs returns the recorded IDs, oldest first.
func (c *CancelledJobs) IDs(now time.Duration) []string {
	c.expire(now)
	var ids []string
	for element := c.byAge.Front(); element != nil; element = element.Next() {
		ids = append(ids, element.Value.(cancelledJob).id)
	}
	return ids
}

// expire removes the IDs that are older than cancelRecordAge.
func (c *CancelledJobs) expire(now time.Duration) {
	for oldest := c.byAge.Front(); oldest != nil; oldest = c.byAge.Front() {
		job := oldest.Value.(cancelledJob)
		if now-job.at < cancelRecordAge {
			return
		}
		c.byAge.Remove(oldest)
		delete(c.elements, job.id)
	}
}
