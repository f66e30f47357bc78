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
