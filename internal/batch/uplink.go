package batch

import (
	"math"
	"slices"
	"time"

	"wigeontray/internal/wire"
)

// Parameters of the bandwidth estimate.
const (
	// minQueueDelay is the delay beyond the idle latency from which a frame counts as queued on
	// the link.
	minQueueDelay = 10 * time.Millisecond
	// minArrivals and minRateSpan are the number of consecutive frames and the time span that are
	// required to measure a rate.
	minArrivals = 6
	minRateSpan = 40 * time.Millisecond
	// maxRateRatio is the limit of the median rate between frames divided by the overall rate. A
	// low-bandwidth link delivers frames evenly; after a process pause they arrive unevenly and
	// exceed the ratio.
	maxRateRatio = 2
	// usedRateShare is the share of a measured rate that is used, so that the queue on the link
	// shrinks.
	usedRateShare = 0.9
	// The rate is raised by rateGrowthFactor every rateGrowthInterval while frames arrive in
	// time. Where frames are rare, up to maxGrowthSteps such steps are made at once.
	rateGrowthInterval = 50 * time.Millisecond
	rateGrowthFactor   = 1.1
	maxGrowthSteps     = 8
	// maxBacklog is the transfer time of frames that may be put on the link ahead: enough to keep
	// the link from being idle until the next event, and short, because more urgent frames have
	// to wait behind them.
	maxBacklog = 15 * time.Millisecond
	// congestionAge is how long the link counts as congested after a job was held back.
	congestionAge = 250 * time.Millisecond
	// initialWindow is the number of bytes sent before anything is known about the link. The
	// window grows by twice the bytes that arrive in time; from unlimitedWindow on, only a
	// measured rate limits what is sent.
	initialWindow   = 16 << 10
	unlimitedWindow = 256 << 10
	// windowTimeout is the time after which a job is sent even though no arrival has been
	// reported.
	windowTimeout = 100 * time.Millisecond
	// historyAge is how long send and arrival times are kept.
	historyAge = time.Second
)

// Estimated sizes of frames on the link, in bytes, including packet headers.
const (
	smallFrameBytes = 100
	tasksFrameBytes = 160 // a RunTasks without its text and tasks
	bytesPerTask    = 35
)

// uplink estimates the bandwidth from this entry to its guards and paces jobs accordingly. Frames
// beyond the bandwidth wait in connection buffers for hundreds of milliseconds. The entry's data
// about its workers is then equally old, so that tasks reach full workers and are sent again with
// the text of their job, and throughput collapses. Guards report the age of frames on arrival,
// from which uplink measures the rate of a low-bandwidth link. A job that is held back at the
// entry can still be refused or overtaken.
type uplink struct {
	rate          float64       // bytes a second; 0 if no bandwidth limit has been detected
	idleAt        time.Duration // time at which all frames sent have passed the link, by rate
	window        float64       // bytes that may be in flight while the rate is unknown
	sentBytes     float64       // bytes sent so far
	sentTaskBytes float64       // sentBytes up to the latest RunTasks
	arrived       float64       // sentBytes up to the latest RunTasks known to have arrived
	lastTasksAt   time.Duration // time at which the latest RunTasks was sent
	sends         []sendRecord  // recent frames, oldest first
	arrivals      []arrival     // recent arrivals, in order of sending
	isHolding     bool          // a job is held back
	lastHeldAt    time.Duration // time at which a job was last held back
	rateUpdatedAt time.Duration // time at which rate was last raised or measured
}

// sendRecord is the time at which a frame was sent, and the total of bytes sent including it.
type sendRecord struct {
	at        time.Duration
	sentBytes float64
}

// arrival is a sent frame that has reached its guard.
type arrival struct {
	sendRecord
	arrived time.Duration // time of arrival, less the latency of an idle link
}

// frameBytes estimates the size of a frame on the link.
func frameBytes(f *wire.Frame) float64 {
	switch {
	case f.RunTasks != nil:
		return float64(tasksFrameBytes + textBytes(f.RunTasks) + bytesPerTask*len(f.RunTasks.Tasks))
	case f.DesiredConfig != nil:
		return float64(smallFrameBytes + len(f.DesiredConfig.Document))
	}
	return smallFrameBytes
}

// textBytes returns the number of bytes that the text takes in a RunTasks frame.
func textBytes(t *wire.RunTasks) int {
	if t.Packed != nil {
		return len(t.Packed.Bytes)
	}
	return len(t.Text)
}

// recordSend records a frame that is sent.
func (u *uplink) recordSend(now time.Duration, f *wire.Frame) sendRecord {
	bytes := frameBytes(f)
	u.sentBytes += bytes
	if f.RunTasks != nil {
		u.sentTaskBytes, u.lastTasksAt = u.sentBytes, now
	}
	record := sendRecord{at: now, sentBytes: u.sentBytes}
	if len(u.sends) > 0 && u.sends[0].at < now-2*historyAge {
		u.dropBefore(now - historyAge)
	}
	u.sends = append(u.sends, record)
	u.idleAt = max(u.idleAt, now) + u.transferTime(bytes)
	return record
}

// transferTime returns how long the given bytes take to pass a low-bandwidth link; 0 if the rate
// is unknown.
func (u *uplink) transferTime(bytes float64) time.Duration {
	if u.rate == 0 {
		return 0
	}
	return time.Duration(bytes / u.rate * float64(time.Second))
}

// canSend reports whether a job may be sent now.
func (u *uplink) canSend(now time.Duration) bool {
	u.isHolding = now < u.nextSendAt()
	if u.isHolding {
		u.lastHeldAt = now
	}
	return !u.isHolding
}

// nextSendAt returns the time from which the next job may be sent if no arrival is reported
// before it.
func (u *uplink) nextSendAt() time.Duration {
	if u.rate == 0 && u.window < unlimitedWindow && u.sentTaskBytes-u.arrived >= max(u.window, initialWindow) {
		return u.lastTasksAt + windowTimeout
	}
	return u.idleAt - maxBacklog
}

// growWindow enlarges the window after a frame that arrived in time.
func (u *uplink) growWindow(a arrival) {
	if a.sentBytes > u.arrived {
		u.window = max(u.window, initialWindow) + 2*(a.sentBytes-u.arrived)
	}
}

// isCongested reports whether a job was held back within congestionAge.
func (u *uplink) isCongested(now time.Duration) bool {
	return u.lastHeldAt > 0 && now-u.lastHeldAt < congestionAge
}

// recordArrival records a guard's report that a frame has arrived; delay is its age on arrival
// less the latency of an idle link.
func (u *uplink) recordArrival(now time.Duration, record sendRecord, delay time.Duration) {
	if record.at < now-historyAge {
		return
	}
	a := arrival{sendRecord: record, arrived: record.at + delay}
	if delay < minQueueDelay {
		u.growWindow(a)
	}
	u.arrived = max(u.arrived, record.sentBytes)
	at, _ := slices.BinarySearchFunc(u.arrivals, a, func(x, y arrival) int { return int(x.sentBytes - y.sentBytes) })
	u.arrivals = slices.Insert(u.arrivals, at, a)
	if rate := u.measuredRate(); rate > 0 {
		u.rate, u.rateUpdatedAt = rate, now
	} else if delay < minQueueDelay {
		u.raiseRate(now)
	}
	if u.rate > 0 {
		u.updateIdleAt(now)
	}
}

// measuredRate returns the rate over the latest period in which the link was never idle; 0 if the
// period was too short. A frame that was sent before the preceding one arrived has followed it
// without a gap. A process pause delays one frame by a long time and the frames behind it hardly
// at all, so that they seem to arrive at once; no rate must be derived from it.
func (u *uplink) measuredRate() float64 {
	last := len(u.arrivals) - 1
	first := last
	for first > 0 && u.arrivals[first].at <= u.arrivals[first-1].arrived {
		first--
	}
	busy := u.arrivals[first:]
	span := busy[len(busy)-1].arrived - busy[0].arrived
	if len(busy) < minArrivals || span < minRateSpan {
		return 0
	}
	overall := (busy[len(busy)-1].sentBytes - busy[0].sentBytes) / span.Seconds()
	median := medianRate(busy)
	if median > maxRateRatio*overall {
		return 0
	}
	return usedRateShare * max(overall, median)
}

// medianRate returns the median of the rates between consecutive arrivals.
func medianRate(busy []arrival) float64 {
	rates := make([]float64, 0, len(busy)-1)
	for i := 1; i < len(busy); i++ {
		gap := max(busy[i].arrived-busy[i-1].arrived, time.Millisecond/2)
		rates = append(rates, (busy[i].sentBytes-busy[i-1].sentBytes)/gap.Seconds())
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// updateIdleAt estimates the time at which all frames sent have passed the link, starting from
// the latest frame that is known to have arrived.
func (u *uplink) updateIdleAt(now time.Duration) {
	newest := u.arrivals[len(u.arrivals)-1]
	idleAt, sentBytes := newest.arrived, newest.sentBytes
	for _, record := range u.sends {
		if record.sentBytes > sentBytes {
			idleAt = max(idleAt, record.at) + u.transferTime(record.sentBytes-sentBytes)
			sentBytes = record.sentBytes
		}
	}
	u.idleAt = max(now, idleAt)
}

// raiseRate raises the rate while it holds jobs back although frames arrive in time: the
// bandwidth may have increased.
func (u *uplink) raiseRate(now time.Duration) {
	if !u.isCongested(now) || now-u.rateUpdatedAt < rateGrowthInterval {
		return
	}
	steps := min(maxGrowthSteps, float64(now-u.rateUpdatedAt)/float64(rateGrowthInterval))
	u.rate *= math.Pow(rateGrowthFactor, steps)
	u.rateUpdatedAt = now
}

// dropBefore removes the records of frames sent before the given time.
func (u *uplink) dropBefore(before time.Duration) {
	u.sends = slices.DeleteFunc(u.sends, func(record sendRecord) bool { return record.at < before })
	u.arrivals = slices.DeleteFunc(u.arrivals, func(a arrival) bool { return a.at < before })
}
