package batch

import (
	"math"
	"slices"
	"time"

	"wigeontray/internal/wire"
)

// Figures of an uplink.
const (
	// lateLeast is by how much older than usual a frame has to come to show that it
	// stood in a queue.
	lateLeast = 10 * time.Millisecond
	// leastArrivals and rateSpan are how many frames in a row, and over how long, it takes
	// to measure a rate.
	leastArrivals = 6
	rateSpan      = 40 * time.Millisecond
	// mostUneven is by how much the usual rate from one frame to the next may exceed that
	// over the whole time: a link is even, a pause is not.
	mostUneven = 2
	// rateShare is the part of a measured rate that is used, so that the queue shrinks.
	rateShare = 0.9
	// growEvery and growBy are how fast the rate is raised while frames come in time.
	// mostSteps are made up for at once, where frames are few.
	growEvery = 50 * time.Millisecond
	growBy    = 1.1
	mostSteps = 8
	// aheadMost is how much is put on the link ahead: enough that it does not stand
	// idle until the next event, and little, as what is more urgent comes behind it.
	aheadMost = 15 * time.Millisecond
	// shortFor is how long the link counts as short after it has held a job back.
	shortFor = 250 * time.Millisecond
	// firstWindow is how many bytes are sent before anything is known of the link. It grows
	// by twice the bytes that arrive in time; from openWindow on, only a measured rate limits
	// what is sent.
	firstWindow = 16 << 10
	openWindow  = 256 << 10
	// windowTimeout is after which a job is sent though nothing has come.
	windowTimeout = 100 * time.Millisecond
	// history is how long send and arrival times are remembered.
	history = time.Second
)

// Sizes of frames on the link, in bytes, headers of packets included.
const (
	smallFrame = 100
	tasksFrame = 160 // RunTasks without its text and tasks
	taskBytes  = 35
)

// uplink estimates the bandwidth from this entry to its guards, and paces jobs by it. Frames
// beyond the bandwidth wait in the buffers of connections for hundreds of milliseconds. The
// entry's view of its workers is as old then, tasks meet full workers and are sent again with
// the text of their job, and the load collapses. Guards report the age of frames on arrival;
// from that uplink measures the rate of a thin link. A job that is held back here can still be
// refused or overtaken.
type uplink struct {
	rate     float64       // bytes a second; 0 while nothing has shown that the link is thin
	free     time.Duration // when everything sent has passed the link, by rate
	window   float64       // bytes that may be in flight while the rate is unknown
	total    float64       // bytes sent so far
	tasks    float64       // the part of them up to the newest tasks
	came     float64       // the part of them up to the newest tasks that have arrived
	last     time.Duration // when the newest tasks were sent
	marks    []mark        // what was sent lately, oldest first
	arrivals []arrival     // what came lately, in order of sending
	holds    bool          // a job is held back
	held     time.Duration // when one was last held back
	grown    time.Duration // when rate was last raised or measured
}

// mark is what was sent at a moment, and how much was sent up to it.
type mark struct {
	at    time.Duration
	total float64
}

// arrival is a mark with the time at which it reached its guard, less the latency of an idle
// link.
type arrival struct {
	mark
	came time.Duration
}

// frameBytes estimates the size of a frame on the link.
func frameBytes(f *wire.Frame) float64 {
	switch {
	case f.RunTasks != nil:
		return float64(tasksFrame + textBytes(f.RunTasks) + taskBytes*len(f.RunTasks.Tasks))
	case f.Desired != nil:
		return float64(smallFrame + len(f.Desired.Document))
	}
	return smallFrame
}

func textBytes(t *wire.RunTasks) int {
	if t.Packed != nil {
		return len(t.Packed.Bytes)
	}
	return len(t.Text)
}

// put records a frame that is sent.
func (u *uplink) put(now time.Duration, f *wire.Frame) mark {
	bytes := frameBytes(f)
	u.total += bytes
	if f.RunTasks != nil {
		u.tasks, u.last = u.total, now
	}
	m := mark{at: now, total: u.total}
	if len(u.marks) > 0 && u.marks[0].at < now-2*history {
		u.forget(now - history)
	}
	u.marks = append(u.marks, m)
	u.free = max(u.free, now) + u.takes(bytes)
	return m
}

// takes is how long bytes take to pass a thin link.
func (u *uplink) takes(bytes float64) time.Duration {
	if u.rate == 0 {
		return 0
	}
	return time.Duration(bytes / u.rate * float64(time.Second))
}

// open tells whether a job may be sent.
func (u *uplink) open(now time.Duration) bool {
	u.holds = now < u.opensAt()
	if u.holds {
		u.held = now
	}
	return !u.holds
}

// opensAt is when the next job may be sent, if nothing comes until then.
func (u *uplink) opensAt() time.Duration {
	if u.rate == 0 && u.window < openWindow && u.tasks-u.came >= max(u.window, firstWindow) {
		return u.last + windowTimeout
	}
	return u.free - aheadMost
}

// widen grows the window after a frame that arrived in time.
func (u *uplink) widen(a arrival) {
	if a.total > u.came {
		u.window = max(u.window, firstWindow) + 2*(a.total-u.came)
	}
}

// short tells whether a job was held back within shortFor.
func (u *uplink) short(now time.Duration) bool { return u.held > 0 && now-u.held < shortFor }

// arrived records a guard's report that a frame has arrived, late after the latency of an
// idle link.
func (u *uplink) arrived(now time.Duration, m mark, late time.Duration) {
	if m.at < now-history {
		return
	}
	a := arrival{mark: m, came: m.at + late}
	if late < lateLeast {
		u.widen(a)
	}
	u.came = max(u.came, m.total)
	at, _ := slices.BinarySearchFunc(u.arrivals, a, func(x, y arrival) int { return int(x.total - y.total) })
	u.arrivals = slices.Insert(u.arrivals, at, a)
	if rate := u.measured(); rate > 0 {
		u.rate, u.grown = rate, now
	} else if late < lateLeast {
		u.grow(now)
	}
	if u.rate > 0 {
		u.updateFree(now)
	}
}

// measured is the rate over the newest time in which the link was never idle; 0 if that
// was too short. A frame that was sent before the one ahead of it came has followed it at
// once. A pause of a process delays one frame by much and those behind it by nothing, and
// is no rate: the frames after it seem to come at once.
func (u *uplink) measured() float64 {
	last := len(u.arrivals) - 1
	first := last
	for first > 0 && u.arrivals[first].at <= u.arrivals[first-1].came {
		first--
	}
	busy := u.arrivals[first:]
	span := busy[len(busy)-1].came - busy[0].came
	if len(busy) < leastArrivals || span < rateSpan {
		return 0
	}
	overall := (busy[len(busy)-1].total - busy[0].total) / span.Seconds()
	usual := usualRate(busy)
	if usual > mostUneven*overall {
		return 0
	}
	return rateShare * max(overall, usual)
}

// usualRate is the median of the rates from one arrival to the next.
func usualRate(busy []arrival) float64 {
	rates := make([]float64, 0, len(busy)-1)
	for i := 1; i < len(busy); i++ {
		gap := max(busy[i].came-busy[i-1].came, time.Millisecond/2)
		rates = append(rates, (busy[i].total-busy[i-1].total)/gap.Seconds())
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// updateFree estimates when everything sent has passed the link, from the newest frame that is
// known to have arrived.
func (u *uplink) updateFree(now time.Duration) {
	newest := u.arrivals[len(u.arrivals)-1]
	free, total := newest.came, newest.total
	for _, m := range u.marks {
		if m.total > total {
			free = max(free, m.at) + u.takes(m.total-total)
			total = m.total
		}
	}
	u.free = max(now, free)
}

// grow raises the rate while it holds jobs back and frames arrive in time all the same: the
// bandwidth may have grown.
func (u *uplink) grow(now time.Duration) {
	if !u.short(now) || now-u.grown < growEvery {
		return
	}
	steps := min(mostSteps, float64(now-u.grown)/float64(growEvery))
	u.rate *= math.Pow(growBy, steps)
	u.grown = now
}

// forget drops what was sent before a moment.
func (u *uplink) forget(before time.Duration) {
	u.marks = slices.DeleteFunc(u.marks, func(m mark) bool { return m.at < before })
	u.arrivals = slices.DeleteFunc(u.arrivals, func(a arrival) bool { return a.at < before })
}
