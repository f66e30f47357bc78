// Package proclimit divides the memory and the descriptors of a process among what its clients use:
// connections, links and the content of requests.
//
//	memory       30% connections of callers, 3% those of each other listener, 20% links, 12.5% content of
//	             requests beyond what each connection includes; the rest is for the process itself and for garbage
//	descriptors  files and connections that the process opens; of the others 40% for callers, 40% for
//	             links and 8% for each other listener
//
// The package may import membudget.
package proclimit

import (
	"fmt"
	"syscall"

	"wigeontray/internal/membudget"
)

// Parts of the memory, as denominators or percentages.
const (
	contentDivisor    = 8
	connectionPercent = 30
	linkPercent       = 20
)

// Memory of one connection, in bytes, in this process and in the kernel: buffers of the socket, buffers of net/http or of
// the link, stacks, and the part of a request or frame that its account holds for free.
const (
	connectionBytes = 2*minSocketBytes + 16<<10 + membudget.FreeBytes
	linkBytes       = minSocketBytes + 8<<10 + membudget.FreeBytes
)

// Sizes of a socket buffer.
const (
	minSocketBytes = 16 << 10
	maxSocketBytes = 128 << 10
	socketPercent  = 5 // of the memory, for all buffers of a listener beyond the smallest size
)

// Descriptors that are not for accepted connections, where the process may have many; see reservedDescriptors.
const (
	fileDescriptors     = 200
	outgoingConnections = 64
)

// minConnections is the smallest limit of a listener.
const minConnections = 4

// Process is what a process may use.
type Process struct {
	Memory      int64 // bytes
	Descriptors int64
}

// New returns the limits of this process. A memory or descriptors that is 0 is replaced by the machine's memory
// or by the limit of the operating system.
func New(memory, descriptors int64) (Process, error) {
	p := Process{Memory: memory, Descriptors: descriptors}
	if p.Memory <= 0 {
		var info syscall.Sysinfo_t
		if err := syscall.Sysinfo(&info); err != nil {
			return p, fmt.Errorf("read the machine's memory: %w", err)
		}
		p.Memory = int64(info.Totalram) * int64(info.Unit)
	}
	if p.Descriptors <= 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return p, fmt.Errorf("read the limit of descriptors: %w", err)
		}
		p.Descriptors = int64(min(limit.Cur, 1<<30))
	}
	return p, nil
}

// NewBudget returns the budget for the content of requests.
func (p Process) NewBudget() *membudget.Budget { return membudget.New(p.Memory / contentDivisor) }

// MaxBody returns the size of the largest request body that the process serves: at most most, and what the budget
// holds beside its decoded form.
func (p Process) MaxBody(most int64) int64 { return min(most, p.Memory/contentDivisor/bodyCopies) }

// bodyCopies is how often the content of a request can be in memory at once: as received, decoded, as a job, and
// once more while a buffer grows.
const bodyCopies = 4

// Use is what a listener serves.
type Use int

// The uses of listeners.
const (
	Callers Use = iota
	Links
	Internal // one of several listeners for probes, reports and counters
)

// Limits are the limits of a listener.
type Limits struct {
	Connections int // open at once
	// ReceiveBytes and SendBytes are the sizes of the kernel's buffers for a connection; 0 for the system's
	// defaults.
	ReceiveBytes, SendBytes int
}

// Listener returns the limits of a listener that may have at most so many connections.
func (p Process) Listener(use Use, most int) Limits {
	n := p.connections(use, most)
	buffer := p.socketBytes(n)
	if use == Links {
		// What an entry sends on links is limited by its estimate of the bandwidth.
		return Limits{Connections: n, ReceiveBytes: buffer}
	}
	return Limits{Connections: n, ReceiveBytes: buffer, SendBytes: buffer}
}

// connections returns how many connections a listener may have at once, at most most.
func (p Process) connections(use Use, most int) int {
	sockets := p.Descriptors - p.reservedDescriptors()
	var byMemory, byDescriptors int64
	switch use {
	case Callers:
		byMemory, byDescriptors = p.Memory*connectionPercent/100/connectionBytes, sockets*40/100
	case Links:
		byMemory, byDescriptors = p.Memory*linkPercent/100/linkBytes, sockets*40/100
	case Internal:
		byMemory, byDescriptors = p.Memory*connectionPercent/1000/connectionBytes, sockets*8/100
	}
	return int(max(minConnections, min(byMemory, byDescriptors, int64(most))))
}

// reservedDescriptors returns how many descriptors are not for accepted connections.
func (p Process) reservedDescriptors() int64 {
	return min(fileDescriptors, p.Descriptors/2) + min(outgoingConnections, p.Descriptors/8)
}

// socketBytes returns the size of the socket buffers of a listener's connections, of which it may have so many
// and as many in its queue.
func (p Process) socketBytes(connections int) int {
	return int(min(max(minSocketBytes, p.Memory*socketPercent/100/int64(4*connections)), maxSocketBytes))
}
