package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"

	"wigeontray/internal/identity"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// maxConcurrentDials limits the number of guards that connect at the same time.
const maxConcurrentDials = 16

// fleet is the set of simulated guards.
type fleet struct {
	target *Target
	client *http.Client
	meter  *meter
	frames wire.Traffic
	guards []*guard
}

func newFleet(t *Target) *fleet {
	f := &fleet{target: t, meter: newMeter()}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := net.Dialer{KeepAlive: -1} // no keep-alive probes, as in wire.NewClient
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return f.meter.wrap(c), nil
	}
	f.client = &http.Client{Transport: &http.Transport{DialContext: dial, TLSClientConfig: t.InnerTLS}}
	return f
}

// resize connects or closes guards until there are n.
func (f *fleet) resize(ctx context.Context, n int) error {
	if n < len(f.guards) {
		closeGuards(f.guards[n:])
		f.guards = f.guards[:n]
		return nil
	}
	return f.grow(ctx, n)
}

// closeGuards closes the links of all guards before it waits for any of them, as
// each close waits for its peer.
func closeGuards(guards []*guard) {
	for _, g := range guards {
		g.close()
	}
	for _, g := range guards {
		<-g.done
	}
}

// grow connects guards until there are n. Those connected before an error remain.
func (f *fleet) grow(ctx context.Context, n int) error {
	first := len(f.guards)
	added := make([]*guard, max(n-first, 0))
	errs := make(chan error, len(added))
	semaphore := make(chan struct{}, maxConcurrentDials)
	var wg sync.WaitGroup
	for i := range added {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			g, err := f.connectGuard(ctx, first+i)
			added[i] = g
			errs <- err
		})
	}
	wg.Wait()
	close(errs)
	for _, g := range added {
		if g != nil {
			f.guards = append(f.guards, g)
		}
	}
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// connectGuard connects guard number i to the entry and starts its goroutine.
func (f *fleet) connectGuard(ctx context.Context, i int) (*guard, error) {
	scheme := "ws://"
	if f.target.InnerTLS != nil {
		scheme = "wss://"
	}
	l, err := wire.Dial(ctx, scheme+f.target.Inner+wire.GuardPath, f.client, &f.frames)
	if err != nil {
		return nil, fmt.Errorf("guard %d: %w", i, err)
	}
	g := newGuard(l)
	if err := g.handshake(ctx, f.hello(i)); err != nil {
		l.Close("no welcome")
		return nil, fmt.Errorf("guard %d: %w", i, err)
	}
	go g.serve()
	return g, nil
}

// Topology of the planned fleet, as required: three workers per rack and six
// failure domains.
const (
	workersPerRack = 3
	domainCount    = 6
)

// hello returns the Hello of guard number i.
func (f *fleet) hello(i int) *wire.Hello {
	worker := fmt.Sprintf("capacity-%d", i)
	return &wire.Hello{
		Version:     wire.Version,
		MinVersion:  wire.MinVersion,
		Incarnation: identity.NewIncarnation(worker),
		Service:     f.target.Member + "/" + f.target.Service,
		Worker:      worker,
		Rack:        fmt.Sprintf("rack-%d", i/workersPerRack),
		Domain:      fmt.Sprintf("domain-%d", i%domainCount),
		Slots:       slotsPerWorker,
		Software:    telemetry.Version,
		Key:         f.target.FleetKey,
	}
}

// traffic returns the total traffic of all links so far.
func (f *fleet) traffic() traffic {
	return traffic{
		Frames:   f.frames.FramesIn.Load() + f.frames.FramesOut.Load(),
		Bytes:    f.meter.bytes.Load(),
		Segments: f.meter.segments(),
	}
}

func (f *fleet) close() {
	closeGuards(f.guards)
	f.guards = nil
}
