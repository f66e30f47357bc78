package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// LogLimits bounds the log volume of a process.
type LogLimits struct {
	BytesPerSecond int64 // sustained rate
	QueueBytes     int64 // maximum queued for the reader, and maximum burst
}

// routineShare is the fraction of the limits that routine lines may use. The rest is
// reserved for lines about failures, refusals and state changes.
const routineShare = 0.5

// LogQueue buffers log lines between a logger and the reader of the log. Writing to it
// never blocks; otherwise a reader that stops would block every request of the process.
// Lines beyond the limits are dropped and counted, and a line with their number is written
// once there is capacity again.
type LogQueue struct {
	out    io.Writer
	limits LogLimits
	now    func() time.Time

	mu              sync.Mutex
	lines           [][]byte
	queuedBytes     int64 // bytes in lines
	tokens          float64
	lastRefill      time.Time
	unreportedDrops int64 // since the last line that reported drops
	totalDrops      int64 // dropped since the start
	closed          bool

	wake chan struct{}
	done chan struct{}
}

// NewLogQueue returns a queue that writes to out until Close.
func NewLogQueue(out io.Writer, limits LogLimits) *LogQueue {
	q := &LogQueue{
		out: out, limits: limits, now: time.Now, tokens: float64(limits.QueueBytes), lastRefill: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write implements io.Writer for lines that may use the limits in full. It never fails; a
// line beyond the limits is dropped.
func (q *LogQueue) Write(line []byte) (int, error) {
	q.enqueue(line, 1)
	return len(line), nil
}

// RoutineWriter returns a writer for routine lines, which are dropped first.
func (q *LogQueue) RoutineWriter() io.Writer { return routineWriter{q} }

type routineWriter struct{ q *LogQueue }

// Write implements io.Writer.
func (r routineWriter) Write(line []byte) (int, error) {
	r.q.enqueue(line, routineShare)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (q *LogQueue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.totalDrops
}

// enqueue queues a line if it fits into the given share of the limits.
func (q *LogQueue) enqueue(line []byte, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refill()
	size := float64(len(line))
	capacity := float64(q.limits.QueueBytes)
	if float64(q.queuedBytes)+size > share*capacity || q.tokens-size < (1-share)*capacity {
		q.unreportedDrops++
		q.totalDrops++
		return
	}
	if q.unreportedDrops > 0 {
		q.appendLine([]byte(fmt.Sprintf("%s WARN log lines dropped count=%d\n", q.now().UTC().Format(time.RFC3339Nano), q.unreportedDrops)))
		q.unreportedDrops = 0
	}
	q.appendLine(append([]byte(nil), line...))
}

func (q *LogQueue) appendLine(line []byte) {
	q.lines = append(q.lines, line)
	q.queuedBytes += int64(len(line))
	q.tokens -= float64(len(line))
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *LogQueue) refill() {
	now := q.now()
	q.tokens += now.Sub(q.lastRefill).Seconds() * float64(q.limits.BytesPerSecond)
	q.tokens = min(q.tokens, float64(q.limits.QueueBytes))
	q.lastRefill = now
}

func (q *LogQueue) run() {
	defer close(q.done)
	for {
		block, closed := q.takeAll()
		if len(block) > 0 {
			_, _ = q.out.Write(block) // a failure of the log itself cannot be logged
			continue
		}
		if closed {
			return
		}
		<-q.wake
	}
}

// takeAll removes all queued lines and returns them as one block, so that they are written
// with one system call.
func (q *LogQueue) takeAll() (block []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lines {
		block = append(block, l...)
	}
	q.lines, q.queuedBytes = nil, 0
	return block, q.closed
}

// Close writes the queued lines, for at most timeout, and stops the queue.
func (q *LogQueue) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}
