// Package bench contains benchmarks that run the built binaries as separate processes over
// loopback. They measure the cost of an idle entry and guard, the overhead of a request through both
// compared with a direct call to the upstream, and the cost per guard and per task as package
// capacity reports it. They run only on request:
//
//	go test ./bench -run '^$' -bench . -benchtime 1x
package bench
