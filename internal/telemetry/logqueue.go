package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// LogLimits bounds what a process writes to its log.
type LogLimits struct {
	BytesPerSecond int64 // in the long run
	QueueBytes     int64 // that wait for the reader, and that may come at once
}

// routineShare is the part of the limits that routine lines may use up. The rest is
// kept for lines that tell of failures, refusals and changes of belief.
const routineShare = 0.5

// LogQueue stands between a logger and the reader of its lines. Writing to it
// never blocks: a reader that stops would otherwise stop every request of the
// process with it. What exceeds the limits is dropped, counted, and told in a line
// of its own once there is room again.
type LogQueue struct {
	out    io.Writer
	limits LogLimits
	now    func() time.Time

	mu      sync.Mutex
	lines   [][]byte
	waiting int64 // bytes in lines
	tokens  float64
	filled  time.Time
	dropped int64 // since the last line that told so
	total   int64 // dropped since the start
	closed  bool

	wake chan struct{}
	done chan struct{}
}

// NewLogQueue returns a queue that writes to out until Close.
func NewLogQueue(out io.Writer, limits LogLimits) *LogQueue {
	q := &LogQueue{
		out: out, limits: limits, now: time.Now, tokens: float64(limits.QueueBytes), filled: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go q.run()
	return q
}

// Write queues one line that is to be kept if at all possible.
func (q *LogQueue) Write(line []byte) (int, error) {
	q.add(line, 1)
	return len(line), nil
}

// Routine gives a writer for lines that tell of nothing unusual.
func (q *LogQueue) Routine() io.Writer { return routineLines{q} }

type routineLines struct{ q *LogQueue }

// Write implements io.Writer.
func (r routineLines) Write(line []byte) (int, error) {
	r.q.add(line, routineShare)
	return len(line), nil
}

// Dropped counts the lines that were left out since the start.
func (q *LogQueue) Dropped() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}

// add queues a line if a share of the limits leaves room for it.
func (q *LogQueue) add(line []byte, share float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refill()
	size := float64(len(line))
	full := float64(q.limits.QueueBytes)
	if float64(q.waiting)+size > share*full || q.tokens-size < (1-share)*full {
		q.dropped++
		q.total++
		return
	}
	if q.dropped > 0 {
		q.push([]byte(fmt.Sprintf("%s WARN log lines dropped count=%d\n", q.now().UTC().Format(time.RFC3339Nano), q.dropped)))
		q.dropped = 0
	}
	q.push(append([]byte(nil), line...))
}

func (q *LogQueue) push(line []byte) {
	q.lines = append(q.lines, line)
	q.waiting += int64(len(line))
	q.tokens -= float64(len(line))
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *LogQueue) refill() {
	now := q.now()
	q.tokens += now.Sub(q.filled).Seconds() * float64(q.limits.BytesPerSecond)
	q.tokens = min(q.tokens, float64(q.limits.QueueBytes))
	q.filled = now
}

func (q *LogQueue) run() {
	defer close(q.done)
	for {
		block, closed := q.take()
		if len(block) > 0 {
			_, _ = q.out.Write(block) // there is nowhere left to tell of it
			continue
		}
		if closed {
			return
		}
		<-q.wake
	}
}

// take gives all waiting lines as one block, so that each costs no call of its own.
func (q *LogQueue) take() (block []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.lines {
		block = append(block, l...)
	}
	q.lines, q.waiting = nil, 0
	return block, q.closed
}

// Close writes what waits, for as long as most, and ends the queue.
func (q *LogQueue) Close(most time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(most):
	}
}
