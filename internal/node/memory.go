package node

import (
	"os"
	"runtime/debug"

	"wigeontray/internal/membudget"
	"wigeontray/internal/proclimit"
	"wigeontray/internal/settings"
)

// heapPercent is how much of a process's memory the Go runtime may take before it collects garbage all the time. The
// rest is for what the runtime does not count, such as the binary.
const heapPercent = 70

// setMemoryLimit applies a process's memory limit from the settings, unless
// GOMEMLIMIT is set.
func setMemoryLimit(bytes int64) {
	if bytes < settings.NoMemoryLimit && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes * heapPercent / 100)
	}
}

// entryGCPercent is the GOGC value of an entry. With the runtime's default of
// 100 an entry that serves all guards of a region exceeds the memory that it has.
const entryGCPercent = 50

// setGCPercent applies entryGCPercent, so that the garbage collector runs more
// often, unless GOGC is set.
func setGCPercent() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(entryGCPercent)
	}
}

// newProcessLimits returns the limits of this process and the budget for its requests. A memory of
// settings.NoMemoryLimit stands for the machine's.
func newProcessLimits(memory, descriptors int64) (proclimit.Process, *membudget.Budget, error) {
	if memory == settings.NoMemoryLimit {
		memory = 0
	}
	p, err := proclimit.New(memory, descriptors)
	return p, p.NewBudget(), err
}
