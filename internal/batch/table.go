package batch

import (
	"slices"
	"strings"
)

// Route leads requests to a queue.
type Route struct {
	Host   string
	Prefix string // of the path
	Queue  *Queue
	// Reason tells why the queue's jobs cannot be served; empty if they can.
	Reason string
}

// Table finds the queue of a request. It is not changed once made.
type Table struct {
	byHost  map[string][]Route // longest prefix first
	MaxBody int64              // bytes in a submission
}

// NewTable returns the table of some routes.
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

// Find gives the route with the longest prefix of path, and what follows the
// prefix; nil if there is none.
func (t *Table) Find(host, path string) (r *Route, rest string) {
	hostRoutes := t.byHost[host]
	for i := range hostRoutes {
		if rest, ok := strings.CutPrefix(path, hostRoutes[i].Prefix); ok {
			return &hostRoutes[i], rest
		}
	}
	return nil, ""
}
