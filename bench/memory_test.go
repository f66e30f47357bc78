package bench

import (
	"runtime"
	"testing"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/jobs"
	"wigeontray/internal/ledger"
	"wigeontray/internal/wire"
)

// heldRecords is how many records the benchmarks of memory hold.
const heldRecords = 100_000

// liveHeapBytes is the live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // sweeps what the first one found
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkJobRecord reports the memory that an entry takes to remember one
// finished job whose answer it no longer holds.
func BenchmarkJobRecord(b *testing.B) {
	for b.Loop() {
		before := liveHeapBytes()
		r := jobs.New(jobs.Limits{Retention: time.Hour, Skew: time.Minute, Records: heldRecords, AnswerBytes: 1})
		for range heldRecords {
			now := time.Now()
			rec, _, err := r.Admit(now, benchMember, identity.NewTicket("entry-callao-a-0123456789ab", now), jobs.Fingerprint{})
			if err != nil {
				b.Fatal(err)
			}
			r.Finish(now, rec, &jobs.Answer{Body: make([]byte, 64)})
			rec.Release()
		}
		b.ReportMetric((liveHeapBytes()-before)/heldRecords, "B/record")
		runtime.KeepAlive(r)
	}
}

// BenchmarkGuardStart reports the memory that a guard takes to remember one
// start whose result it no longer holds.
func BenchmarkGuardStart(b *testing.B) {
	const home = "entry-callao-a-0123456789ab"
	for b.Loop() {
		before := liveHeapBytes()
		l := ledger.New(time.Now(), ledger.Options{Remembered: heldRecords, HeldBytes: 1})
		l.Health(time.Now(), true)
		l.LinkUp(time.Now(), home)
		for range heldRecords {
			now := time.Now()
			ref := wire.Ref{Member: benchMember, Key: identity.NewTicket(home, now).Text}
			l.Start(now, home, &wire.Start{Ref: ref, Of: 1, Home: home, LeftMs: 1000})
			l.Finished(now, wire.Result{Ref: ref, Ran: errkind.RanYes, Status: 200, Body: make([]byte, 64)})
			l.Actions()
		}
		b.ReportMetric((liveHeapBytes()-before)/heldRecords, "B/start")
		runtime.KeepAlive(l)
	}
}
