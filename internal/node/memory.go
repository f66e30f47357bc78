package node

import (
	"os"
	"runtime/debug"

	"wigeontray/internal/settings"
)

// limitMemory puts the setting of a process in force, unless the environment
// gives a limit of its own.
func limitMemory(bytes int64) {
	if bytes < settings.NoMemoryLimit && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes)
	}
}

// entryGCPercent is how much garbage an entry lets grow, as a percentage of its
// live heap. The runtime's own 100 takes an entry with the guards of a region beyond
// its memory.
const entryGCPercent = 50

// collectEarly makes the collector of an entry run more often, unless the
// environment says otherwise.
func collectEarly() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(entryGCPercent)
	}
}
