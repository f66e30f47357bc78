package batch

import (
	"math"
	"slices"
	"time"

	"wigeontray/internal/wire"
)

// Figures of an uplink.
const (
	// minQueueDelay is by how much older than usual a frame has to come to show that it
	// stood in a queue.
	minQueueDelay = 10 * time.Millisecond
	// minArrivals and minRateSpan are how many frames in a row, and over how long, it takes
	// to measure a rate.
	minArrivals = 6
	minRateSpan = 40 * time.Millisecond
	// maxRateRatio is by how much the usual rate from one frame to the next may exceed that
	// over the whole time: a link is even, a pause is not.
	maxRateRatio = 2
	// usedRateShare is the part of a measured rate that is used, so that the queue shrinks.
	usedRateShare = 0.9
	// rateGrowthInterval and rateGrowthFactor are how fast the rate is raised while frames come in time.
	// maxGrowthSteps are made up for at once, where frames are few.
	rateGrowthInterval = 50 * time.Millisecond
	rateGrowthFactor   = 1.1
	maxGrowthSteps     = 8
	// maxBacklog is how much is put on the link ahead: enough that it does not stand
	// idle until the next event, and little, as what is more urgent comes behind it.
	maxBacklog = 15 * time.Millisecond
	// congestionAge is how long the link counts as short after it has held a job back.
	congestionAge = 250 * time.Millisecond
	// initialWindow is how many bytes are sent before anything is known of the link. It grows
	// by twice the bytes that arrive in time; from unlimitedWindow on, only a measured rate limits
	// what is sent.
	initialWindow   = 16 << 10
	unlimitedWindow = 256 << 10
	// windowTimeout is after which a job is sent though nothing has come.
	windowTimeout = 100 * time.Millisecond
	// historyAge is how long send and arrival times are remembered.
	historyAge = time.Second
)

// Sizes of frames on the link, in bytes, headers of packets included.
const (
	smallFrameBytes = 100
	tasksFrameBytes = 160 // RunTasks without its text and tasks
	bytesPerTask    = 35
)

// uplink estimates the bandwidth from this entry to its guards, and paces jobs by it. Frames
// beyond the bandwidth wait in the buffers of connections for hundreds of milliseconds. The
// entry's view of its workers is as old then, tasks meet full workers and are sent again with
// the text of their job, and the load collapses. Guards report the age of frames on arrival;
// from that uplink measures the rate of a thin link. A job that is held back here can still be
// refused or overtaken.
type uplink struct {
	rate          float64       // bytes a second; 0 while nothing has shown that the link is thin
	idleAt        time.Duration // when everything sent has passed the link, by rate
	window        float64       // bytes that may be in flight while the rate is unknown
	sentBytes     float64       // bytes sent so far
	sentTaskBytes float64       // the part of them up to the newest tasks
	arrived       float64       // the part of them up to the newest tasks that have arrived
	lastTasksAt   time.Duration // when the newest tasks were sent
	sends         []sendRecord  // what was sent lately, oldest first
	arrivals      []arrival     // what came lately, in order of sending
	isHolding     bool          // a job is held back
	lastHeldAt    time.Duration // when one was last held back
	rateUpdatedAt time.Duration // when rate was last raised or measured
}

// sendRecord is what was sent at a moment, and how much was sent up to it.
type sendRecord struct {
	at        time.Duration
	sentBytes float64
}

// arrival is a mark with the time at which it reached its guard, less the latency of an idle
// link.
type arrival struct {
	sendRecord
	arrived time.Duration
}

// frameBytes estimates the size of a frame on the link.
func frameBytes(f *wire.Frame) float64 {
	switch {
	case f.RunTasks != nil:
		return float64(tasksFrameBytes + textBytes(f.RunTasks) + bytesPerTask*len(f.RunTasks.Tasks))
	case f.Desired != nil:
		return float64(smallFrameBytes + len(f.Desired.Document))
	}
	return smallFrameBytes
}

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

// transferTime is how long bytes take to pass a thin link.
func (u *uplink) transferTime(bytes float64) time.Duration {
	if u.rate == 0 {
		return 0
	}
	return time.Duration(bytes / u.rate * float64(time.Second))
}

// canSend tells whether a job may be sent.
func (u *uplink) canSend(now time.Duration) bool {
	u.isHolding = now < u.nextSendAt()
	if u.isHolding {
		u.lastHeldAt = now
	}
	return !u.isHolding
}

// nextSendAt is when the next job may be sent, if nothing comes until then.
func (u *uplink) nextSendAt() time.Duration {
	if u.rate == 0 && u.window < unlimitedWindow && u.sentTaskBytes-u.arrived >= max(u.window, initialWindow) {
		return u.lastTasksAt + windowTimeout
	}
	return u.idleAt - maxBacklog
}

// growWindow grows the window after a frame that arrived in time.
func (u *uplink) growWindow(a arrival) {
	if a.sentBytes > u.arrived {
		u.window = max(u.window, initialWindow) + 2*(a.sentBytes-u.arrived)
	}
}

// isCongested tells whether a job was held back within congestionAge.
func (u *uplink) isCongested(now time.Duration) bool {
	return u.lastHeldAt > 0 && now-u.lastHeldAt < congestionAge
}

// recordArrival records a guard's report that a frame has arrived, late after the latency of an
// idle link.
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

// measuredRate is the rate over the newest time in which the link was never idle; 0 if that
// was too short. A frame that was sent before the one ahead of it came has followed it at
// once. A pause of a process delays one frame by much and those behind it by nothing, and
// is no rate: the frames after it seem to come at once.
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

// medianRate is the median of the rates from one arrival to the next.
func medianRate(busy []arrival) float64 {
	rates := make([]float64, 0, len(busy)-1)
	for i := 1; i < len(busy); i++ {
		gap := max(busy[i].arrived-busy[i-1].arrived, time.Millisecond/2)
		rates = append(rates, (busy[i].sentBytes-busy[i-1].sentBytes)/gap.Seconds())
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// updateIdleAt estimates when everything sent has passed the link, from the newest frame that is
// known to have arrived.
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

// raiseRate raises the rate while it holds jobs back and frames arrive in time all the same: the
// bandwidth may have grown.
func (u *uplink) raiseRate(now time.Duration) {
	if !u.isCongested(now) || now-u.rateUpdatedAt < rateGrowthInterval {
		return
	}
	steps := min(maxGrowthSteps, float64(now-u.rateUpdatedAt)/float64(rateGrowthInterval))
	u.rate *= math.Pow(rateGrowthFactor, steps)
	u.rateUpdatedAt = now
}

// dropBefore drops what was sent before a moment.
func (u *uplink) dropBefore(before time.Duration) {
	u.sends = slices.DeleteFunc(u.sends, func(record sendRecord) bool { return record.at < before })
	u.arrivals = slices.DeleteFunc(u.arrivals, func(a arrival) bool { return a.at < before })
}
