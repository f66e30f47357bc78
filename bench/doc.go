// Package bench holds benchmarks of the built binaries as processes of their
// own, over loopback: what an idle entry and guard cost, what the path adds to
// a direct call to the upstream, and the slopes of the product's own interface. They run
// only when asked for:
//
//	go test ./bench -run '^$' -bench . -benchtime 1x
package bench
