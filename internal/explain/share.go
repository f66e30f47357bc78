package explain

import (
	"fmt"
	"strconv"
)

// partByDemand is the value of the field part_by of a refusal whose share followed from the demand.
const partByDemand = "demand"

// shareOf describes the share of the capacity with which the wait of a refused job was estimated; empty if
// the line does not have it or the job would not have waited.
func shareOf(l *Line) string {
	wait := l.Fields["wait"]
	part, err := strconv.ParseFloat(l.Fields["part"], 64)
	if l.Message != messageJobRefused || isEmptyValue(wait) || err != nil {
		return ""
	}
	text := fmt.Sprintf("the wait of %s was estimated with %.1f%% of the capacity, ", wait, 100*part)
	if l.Fields["part_by"] == partByDemand {
		text += "by demand"
	} else {
		text += "an equal part for each of " + l.Fields["entries"] + " entries"
	}
	if total := l.Fields["total"]; !isEmptyValue(total) {
		text += fmt.Sprintf("; the callers of %s asked for %s of %s cores, as stated up to %s before", l.Node, l.Fields["own"], total, l.Fields["total_age"])
	}
	return text
}
