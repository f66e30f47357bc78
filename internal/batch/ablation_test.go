package batch_test

import (
	"fmt"
	"testing"

	"wigeontray/internal/policy"
)

// ablationSeeds are other seeds than those of the tests: the rules were chosen with these.
var ablationSeeds = []uint64{101, 102, 103, 104, 105, 106, 107, 108}

// BenchmarkAblation reports the share that is served in time at each load with one
// mechanism off at a time.
func BenchmarkAblation(b *testing.B) {
	b.Run("nothing", func(b *testing.B) { ablate(b, 0) })
	b.Run("all rules for shortage and sick workers", func(b *testing.B) {
		ablate(b, policy.Of(policy.WholeStarts, policy.BoundedWait, policy.UrgentOffers, policy.PaceWatch, policy.HangWatch, policy.QuickOrders))
	})
	for _, m := range policy.All() {
		b.Run(m.String(), func(b *testing.B) { ablate(b, policy.Of(m)) })
	}
}

func ablate(b *testing.B, off policy.Set) {
	days := []load{{ofRoom: 0.5}, {ofRoom: 0.8}, {ofRoom: 1.0}, {ofRoom: 1.25}, {ofRoom: 1.6}, {ofRoom: 0.5, slow: 2}, {ofRoom: 0.5, hang: 2}, {ofRoom: 0.5, unanswered: 0.05}}
	for b.Loop() {
		for _, d := range days {
			var list []*loadResult
			for _, seed := range ablationSeeds {
				d.seed, d.length, d.off = seed, loadLength, off
				list = append(list, d.play())
			}
			b.ReportMetric(mean(list, (*loadResult).served), fmt.Sprintf("served/%g%s", d.ofRoom, d.fault()))
		}
	}
}
