package proclimit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/membudget"
)

// Guards against limits that a machine's memory or descriptors cannot serve together, for machines of all sizes.
func TestLimitsFitTheMachineTogether(t *testing.T) {
	for _, p := range []Process{
		{Memory: 64 << 20, Descriptors: 256}, {Memory: 64 << 20, Descriptors: 512}, {Memory: 144 << 20, Descriptors: 3075}, {Memory: 152 << 20, Descriptors: 4096}, {Memory: 184 << 20, Descriptors: 4100},
		{Memory: 284 << 20, Descriptors: 4100}, {Memory: 1048 << 20, Descriptors: 16_384}, {Memory: 64 << 30, Descriptors: 1 << 20},
	} {
		callers, links, internal := p.Listener(Callers, 10_000), p.Listener(Links, 10_000), p.Listener(Internal, 10_000)
		t.Logf("%d MB, %d descriptors: callers %+v, links %+v, others %+v, content %d MB", p.Memory>>20, p.Descriptors, callers, links, internal, p.Memory/contentDivisor>>20)
		sockets := callers.Connections + links.Connections + 2*internal.Connections
		qt.Check(t, int64(sockets) <= p.Descriptors-p.reservedDescriptors(), qt.IsTrue, qt.Commentf("%+v: %d sockets", p, sockets))
		memory := p.NewBudget().Stats().Capacity
		for _, l := range []Limits{callers, links, internal, internal} {
			const buffersAndStacks = 8 << 10
			memory += int64(l.Connections) * (int64(l.ReceiveBytes+l.SendBytes) + buffersAndStacks + membudget.FreeBytes)
		}
		qt.Check(t, memory <= p.Memory*3/4, qt.IsTrue, qt.Commentf("%+v: %d bytes, callers %+v, links %+v, others %+v", p, memory, callers, links, internal))
		qt.Check(t, p.MaxBody(1<<40)*bodyCopies <= p.NewBudget().Stats().Capacity, qt.IsTrue)
	}
}

func TestReservedDescriptors(t *testing.T) {
	for descriptors, want := range map[int64]int64{4100: 264, 512: 264, 256: 160, 64: 40} {
		qt.Check(t, Process{Descriptors: descriptors}.reservedDescriptors(), qt.Equals, want)
	}
}

func TestLimitsOfTheSystemAreTheDefault(t *testing.T) {
	p, err := New(0, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, p.Memory > 64<<20, qt.IsTrue, qt.Commentf("%d", p.Memory))
	qt.Check(t, p.Descriptors > 64, qt.IsTrue, qt.Commentf("%d", p.Descriptors))
	p, err = New(5<<20, 300)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, p, qt.Equals, Process{Memory: 5 << 20, Descriptors: 300})
}
