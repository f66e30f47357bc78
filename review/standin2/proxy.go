package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards TCP connections to a machine, and behaves as the kernel of that machine while it has no power and
// after it has started again.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	isDark bool // the target's machine has no power
	conns  map[net.Conn]net.Conn
	lost   map[net.Conn]bool // connections of dialers that a loss of power has left behind
}

func newProxy(host string, target string) (*proxy, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]net.Conn), lost: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(dialer net.Conn) {
	p.mu.Lock()
	if p.isDark { // a machine without power does not answer
		p.lost[dialer] = true
		p.mu.Unlock()
		p.awaitReset(dialer)
		return
	}
	p.mu.Unlock()
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = dialer.Close()
		return
	}
	p.mu.Lock()
	p.conns[dialer] = target
	p.mu.Unlock()
	go p.copy(dialer, target)
	p.copy(target, dialer)
}

func (p *proxy) copy(from, to net.Conn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if p.isLost(from) {
			p.resetLost(from)
			p.awaitReset(from)
			return
		}
		if p.isLost(to) {
			return // the kernel of the machine that has lost power sends no end of the connection
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, from)
	delete(p.conns, to)
}

// powerOff leaves all connections of dialers open without an answer, as the machine behind the proxy sends
// nothing when it loses power.
func (p *proxy) powerOff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDark = true
	for dialer := range p.conns {
		p.lost[dialer] = true
	}
}

// powerOn ends the loss of power. The machine knows nothing of its earlier connections, and resets each on
// which anything arrives.
func (p *proxy) powerOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDark = false
}

func (p *proxy) isLost(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost[c]
}

// awaitReset reads from a connection that a loss of power has left behind, until it is reset.
func (p *proxy) awaitReset(dialer net.Conn) {
	buf := make([]byte, 4096)
	for {
		if _, err := dialer.Read(buf); err != nil {
			_ = dialer.Close()
			return
		}
		p.resetLost(dialer)
	}
}

// resetLost resets a connection on which something has arrived, unless the machine has no power.
func (p *proxy) resetLost(dialer net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDark {
		return
	}
	if t, ok := dialer.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = dialer.Close()
}
