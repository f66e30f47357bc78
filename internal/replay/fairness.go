package replay

import (
	"maps"
	"slices"

	"wigeontray/internal/dispatch"
)

// jainIndex returns Jain's fairness index over the ratio of served work to fair
// share of each team: 1 if all ratios are equal, 1/n if one of n teams got
// everything.
func jainIndex(served, fairShares map[string]float64) float64 {
	var sum, squares float64
	n := 0
	for _, team := range slices.Sorted(maps.Keys(fairShares)) {
		if share := fairShares[team]; share > 0 {
			x := served[team] / share
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(n) * squares)
}

// fairShares returns the weighted max-min fair shares of the capacity. No team
// gets more than its demand, and the capacity that a team leaves unused is
// divided among the others.
func fairShares(demand map[string]float64, quotas map[string]dispatch.Quota, capacity float64) map[string]float64 {
	shares := make(map[string]float64)
	unsatisfied := slices.Sorted(maps.Keys(demand))
	for len(unsatisfied) > 0 {
		var totalWeight float64
		for _, t := range unsatisfied {
			totalWeight += teamWeight(quotas, t)
		}
		var limited []string
		remaining := capacity
		for _, t := range unsatisfied {
			if share := capacity * teamWeight(quotas, t) / totalWeight; demand[t] <= share {
				shares[t] = demand[t]
				remaining -= demand[t]
			} else {
				limited = append(limited, t)
			}
		}
		if len(limited) == len(unsatisfied) {
			for _, t := range limited {
				shares[t] = capacity * teamWeight(quotas, t) / totalWeight
			}
			return shares
		}
		unsatisfied, capacity = limited, remaining
	}
	return shares
}

// teamWeight returns the weight of a team in its quota, or 1 if none is set.
func teamWeight(quotas map[string]dispatch.Quota, team string) float64 {
	if w := quotas[team].Weight; w > 0 {
		return w
	}
	return 1
}
