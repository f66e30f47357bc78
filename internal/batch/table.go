package batch

import (
	"slices"
	"strings"
)

// Route maps requests with a host and path prefix to a queue.
type Route struct {
	Host   string
	Prefix string // path prefix
	Queue  *Queue
	// Reason says why the queue's jobs cannot be served; empty if they can.
	Reason string
}

// Table finds the queue of a request. It is immutable.
type Table struct {
	byHost  map[string][]Route // sorted by descending prefix length
	MaxBody int64              // maximum size of a submission, in bytes
}

// NewTable returns a table of the given routes.
func NewTable(routes []Route, maxBody int64) *Table {
	t := &Table{byHost: make(map[string][]Route), MaxBody: maxBody}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, hostRoutes := range t.byHost {
		slices.SortStableFunc(hostRoutes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Find returns the route with the longest matching prefix of path, and the rest of
// the path; a nil route if none matches.
func (t *Table) Find(host, path string) (r *Route, rest string) {
	hostRoutes := t.byHost[host]
	for i := range hostRoutes {
		if rest, ok := strings.CutPrefix(path, hostRoutes[i].Prefix); ok {
			return &hostRoutes[i], rest
		}
	}
	return nil, ""
}
