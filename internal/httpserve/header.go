package httpserve

import (
	"bytes"
	"net/http"
)

// fieldCost is what net/http allocates for a field of a header beside its text, in bytes.
const fieldCost = 112

// readBufferBytes is the size of net/http's read buffer of a connection.
const readBufferBytes = 4 << 10

// minFieldBytes is the size of the shortest line of a header with a name of its own.
const minFieldBytes = 5

// headerMeter estimates the memory of a header that arrives.
type headerMeter struct {
	lineBytes int   // received of the current line
	lastByte  byte  // of these
	hasEnded  bool  // the empty line has arrived
	bytes     int64 // received of the header
	cost      int64 // memory, in bytes
}

// consume returns the cost of received bytes. Those that follow the header cost nothing.
func (m *headerMeter) consume(p []byte) int64 {
	before := m.cost
	for len(p) > 0 && !m.hasEnded {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			m.lineBytes, m.lastByte = m.lineBytes+len(p), p[len(p)-1]
			m.add(len(p), 0)
			break
		}
		if end > 0 {
			m.lastByte = p[end-1]
		}
		if length := m.lineBytes + end; length == 0 || length == 1 && m.lastByte == '\r' {
			m.hasEnded = true
			m.add(end+1, 0)
			break
		}
		m.add(end+1, fieldCost)
		m.lineBytes, p = 0, p[end+1:]
	}
	return m.cost - before
}

// add counts received bytes that cost something beside their text.
func (m *headerMeter) add(bytes int, cost int64) {
	m.bytes += int64(bytes)
	m.cost += int64(bytes) + cost
}

// assume returns the cost of bytes that were not seen.
func (m *headerMeter) assume(n int64) int64 {
	cost := n + n/minFieldBytes*fieldCost
	m.cost += cost
	if n > 0 {
		m.lineBytes = len("\r\n") // they may end within a line, whose rest is not an empty line
	}
	return cost
}

// end ends the header and returns its cost so far.
func (m *headerMeter) end() int64 {
	m.hasEnded = true
	cost := m.cost
	m.cost = 0
	return cost
}

// headerCost returns the memory of a header.
func headerCost(h http.Header) int64 {
	cost := int64(0)
	for name, values := range h {
		cost += int64(len(name)) + fieldCost
		for _, v := range values {
			cost += int64(len(v))
		}
	}
	return cost
}
