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

// heldRecords is the number of records that each memory benchmark stores.
const heldRecords = 100_000

// liveHeapBytes returns the size of the live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC() // completes the sweep of the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkJobRecord reports the memory that an entry uses for the record of one finished job
// whose answer has been dropped.
func BenchmarkJobRecord(b *testing.B) {
	for b.Loop() {
		before := liveHeapBytes()
		r := jobs.New(jobs.Limits{Retention: time.Hour, MaxClockSkew: time.Minute, MaxRecords: heldRecords, MaxAnswerBytes: 1})
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

// BenchmarkGuardStart reports the memory that a guard uses for the record of one task start
// whose result has been dropped.
func BenchmarkGuardStart(b *testing.B) {
	const home = "entry-callao-a-0123456789ab"
	for b.Loop() {
		before := liveHeapBytes()
		l := ledger.New(time.Now(), ledger.Options{Remembered: heldRecords, HeldBytes: 1})
		l.SetHealthy(time.Now(), true)
		l.LinkUp(time.Now(), home)
		for range heldRecords {
			now := time.Now()
			ref := wire.Ref{Member: benchMember, Key: identity.NewTicket(home, now).Text}
			l.Start(now, home, &wire.Start{Ref: ref, Of: 1, Home: home, LeftMs: 1000})
			l.FinishTask(now, wire.Result{Ref: ref, Ran: errkind.RanYes, Status: 200, Body: make([]byte, 64)})
			l.Actions()
		}
		b.ReportMetric((liveHeapBytes()-before)/heldRecords, "B/start")
		runtime.KeepAlive(l)
	}
}
