package replay

import (
	"maps"
	"slices"

	"wigeontray/internal/dispatch"
)

// jain is Jain's index over what each team got of what it was entitled to: 1
// when all got the same share, 1/n when one got all.
func jain(got, entitled map[string]float64) float64 {
	var sum, squares float64
	n := 0
	for _, team := range slices.Sorted(maps.Keys(entitled)) {
		if e := entitled[team]; e > 0 {
			x := got[team] / e
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(n) * squares)
}

// entitled is the max-min fair share of the capacity by weight: nobody gets
// more than it offers, and what one leaves goes to the others.
func entitled(offered map[string]float64, quotas map[string]dispatch.Quota, capacity float64) map[string]float64 {
	out := make(map[string]float64)
	open := slices.Sorted(maps.Keys(offered))
	for len(open) > 0 {
		var weights float64
		for _, t := range open {
			weights += weight(quotas, t)
		}
		var rest []string
		left := capacity
		for _, t := range open {
			if fair := capacity * weight(quotas, t) / weights; offered[t] <= fair {
				out[t] = offered[t]
				left -= offered[t]
			} else {
				rest = append(rest, t)
			}
		}
		if len(rest) == len(open) {
			for _, t := range rest {
				out[t] = capacity * weight(quotas, t) / weights
			}
			return out
		}
		open, capacity = rest, left
	}
	return out
}

func weight(quotas map[string]dispatch.Quota, team string) float64 {
	if w := quotas[team].Weight; w > 0 {
		return w
	}
	return 1
}
