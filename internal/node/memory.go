package node

import (
	"runtime/debug"

	"wigeontray/internal/settings"
)

// limitMemory puts the setting of a process in force. Without one, a limit that
// the environment gives (GOMEMLIMIT) stays.
func limitMemory(bytes int64) {
	if bytes < settings.NoMemoryLimit {
		debug.SetMemoryLimit(bytes)
	}
}
