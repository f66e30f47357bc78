package batch_test

import (
	"fmt"
	"testing"
	"time"

	"wigeontray/internal/policy"
)

// ablationSeeds are other seeds than those of the tests: the rules were chosen with these.
var ablationSeeds = []uint64{101, 102, 103, 104, 105, 106, 107, 108}

// BenchmarkAblation reports the share that is served in time at each load with one
// mechanism off at a time.
func BenchmarkAblation(b *testing.B) {
	b.Run("nothing", func(b *testing.B) { ablate(b, 0) })
	for _, m := range policy.All() {
		b.Run(m.String(), func(b *testing.B) { ablate(b, policy.Of(m)) })
	}
}

func ablate(b *testing.B, off policy.Set) {
	days := []load{{ofRoom: 0.5}, {ofRoom: 0.8}, {ofRoom: 1.0}, {ofRoom: 1.25}, {ofRoom: 1.6}, {ofRoom: 0.5, slow: 2}}
	for b.Loop() {
		for _, d := range days {
			served := 0.0
			for _, seed := range ablationSeeds {
				d.seed, d.length, d.off = seed, 12*time.Second, off
				served += d.play().served() / float64(len(ablationSeeds))
			}
			b.ReportMetric(served, fmt.Sprintf("served/%g-slow-%d", d.ofRoom, d.slow))
		}
	}
}
