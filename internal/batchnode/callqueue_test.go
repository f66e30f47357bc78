package batchnode

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Guards against a goroutine and a request for each of thousands of tasks, and against calls that are left out or
// reordered.
func TestCallsAreLimitedAndKeepTheirOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 1000
		var q callQueue
		var running, most atomic.Int64
		release := make(chan struct{})
		started := make(chan int, calls)
		for i := range calls {
			q.add(func() {
				started <- i
				most.Store(max(most.Load(), running.Add(1)))
				<-release
				running.Add(-1)
			})
		}
		synctest.Wait()
		qt.Check(t, running.Load(), qt.Equals, int64(maxConcurrentCalls))
		for range maxConcurrentCalls {
			<-started // these may begin in any order
		}
		for i := maxConcurrentCalls; i < calls; i++ {
			release <- struct{}{}
			qt.Assert(t, <-started, qt.Equals, i)
		}
		close(release)
		synctest.Wait()
		qt.Check(t, running.Load(), qt.Equals, int64(0))
		qt.Check(t, q.running, qt.Equals, 0)
		qt.Check(t, most.Load(), qt.Equals, int64(maxConcurrentCalls))
	})
}
