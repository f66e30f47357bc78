// Package bench contains benchmarks that run the built binaries as separate processes over
// loopback. They measure the cost of an idle entry and guard, the overhead of a request through both
// compared with a direct call to the upstream, the cost per guard and per task as package capacity
// reports it, and the traffic of a configuration change. Other benchmarks run in the benchmark process
// and measure the memory per record of a job or task start, and the configuration's size. They run
// only on request:
//
//	go test ./bench -run '^$' -bench . -benchtime 1x
package bench
