package main

import (
	"net"
	"sync"
)

// direction of a relay.
type direction int

const (
	toDialed direction = iota
	toDialer
)

// relay forwards TCP connections to an address. Bytes, and ends of connections, in a direction that is
// cut are held until the cut heals.
type relay struct {
	address string

	mu     sync.Mutex
	healed *sync.Cond
	isCut  [2]bool // by direction
	conns  map[net.Conn]bool
	// cutAfter cuts both directions once so many bytes have been forwarded to the dialed; 0 for never.
	cutAfter  int
	forwarded int
	onCut     func()
}

func (r *relay) listen(host, target string) error {
	r.healed, r.conns = sync.NewCond(&r.mu), make(map[net.Conn]bool)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.connect(c, target)
		}
	}()
	return nil
}

func (r *relay) connect(dialer net.Conn, target string) {
	r.waitHealed(toDialed)
	dialed, err := net.Dial("tcp", target)
	if err != nil {
		dialer.Close()
		return
	}
	r.mu.Lock()
	r.conns[dialer], r.conns[dialed] = true, true
	r.mu.Unlock()
	go r.forward(dialed, dialer, toDialer)
	r.forward(dialer, dialed, toDialed)
}

func (r *relay) waitHealed(d direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isCut[d] {
		r.healed.Wait()
	}
}

func (r *relay) forward(from, to net.Conn, d direction) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		r.waitHealed(d)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
			r.count(d, n)
		}
		if err != nil {
			break
		}
	}
	from.Close()
	to.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, from)
	delete(r.conns, to)
}

func (r *relay) count(d direction, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d != toDialed || r.cutAfter == 0 {
		return
	}
	if r.forwarded += n; r.forwarded >= r.cutAfter {
		r.cutAfter, r.isCut = 0, [2]bool{true, true}
		r.onCut()
	}
}

// setCut cuts directions or heals them.
func (r *relay) setCut(isCut bool, directions ...direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range directions {
		r.isCut[d] = isCut
	}
	r.healed.Broadcast()
}

// reset resets all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // closing then sends a reset
		}
		c.Close()
	}
}
