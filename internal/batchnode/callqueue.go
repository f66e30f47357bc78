package batchnode

import "sync"

// maxConcurrentCalls is the number of starts and stops that a guard sends to its worker at once. A job may have
// thousands of tasks that fit there together; a goroutine and a request for each would take more memory than the
// guard has.
const maxConcurrentCalls = 64

// callQueue makes calls in the order in which they are added, at most maxConcurrentCalls at once.
type callQueue struct {
	mu      sync.Mutex
	waiting []func()
	running int
}

// add queues a call. It does not block.
func (q *callQueue) add(call func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running == maxConcurrentCalls {
		q.waiting = append(q.waiting, call)
		return
	}
	q.running++
	go q.run(call)
}

// run makes a call and then those that wait.
func (q *callQueue) run(call func()) {
	for call != nil {
		call()
		call = q.next()
	}
}

// next returns the first call that waits, or nil if there is none.
func (q *callQueue) next() func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.waiting = nil // releases the memory of a burst
		q.running--
		return nil
	}
	call := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return call
}
