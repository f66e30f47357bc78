package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"wigeontray/internal/guard"
	"wigeontray/internal/httpserve"
	"wigeontray/internal/record"
	"wigeontray/internal/sample"
	"wigeontray/internal/settings"
	"wigeontray/internal/store"
	"wigeontray/internal/store/standin"
	"wigeontray/internal/telemetry"
)

// SampleMember is a member of the quickstart with its service and a sample
// task.
type SampleMember struct {
	Name, Token, Service, Task string
	domains                    []string
}

// SampleMembers returns the two members of the quickstart. Their tokens are not
// secret: the quickstart listens on loopback and stores nothing on disk.
func SampleMembers() []SampleMember {
	return []SampleMember{
		{
			Name: "ayni", Token: "ayni-sample-token", Service: "reserva",
			Task:    `{"sleep_ms":120,"booking":"wheelchair escort","flight":"LP2047","seat":"12A"}`,
			domains: []string{"callao-a", "surco"},
		},
		{
			Name: "leeuwin", Token: "leeuwin-sample-token", Service: "clubcast",
			Task:    `{"sleep_ms":250,"run":"course-wind","course":"W3","start":"10:05"}`,
			domains: []string{"fremantle", "rottnest"},
		},
	}
}

// Standalone is a complete system in one process: an embedded store, one entry,
// and a guard with a sample upstream for each failure domain.
type Standalone struct {
	*Entry
	kv          *standin.Server
	guards      []*guard.Guard
	httpServers []*httpserve.Server
}

// NewStandalone builds the system and serves callers at listen. Without workers
// it has members and services but no guards.
func NewStandalone(listen string, workers bool, logs io.Writer) (*Standalone, error) {
	s := &Standalone{kv: standin.New()}
	cfg := settings.DefaultEntry()
	cfg.Name, cfg.Region, cfg.FailureDomain = "entry", "local", "local-a"
	cfg.Callers, cfg.Inner, cfg.Admin = listen, "127.0.0.1:0", "127.0.0.1:0"
	cfg.Store.Endpoints = []string{"http://store.invalid"} // never dialed
	var err error
	if s.Entry, err = NewEntry(cfg, &standin.Transport{Handler: s.kv}, logs); err != nil {
		return nil, err
	}
	s.SkipLameDuck = true
	if !workers {
		return s, nil
	}
	for _, m := range SampleMembers() {
		for _, d := range m.domains {
			if err := s.addWorker(m, d); err != nil {
				return nil, err
			}
		}
	}
	return s, nil
}

// addWorker opens a listener for a sample upstream and creates its guard.
func (s *Standalone) addWorker(m SampleMember, domain string) error {
	worker := m.Service + "-" + domain
	upstream, err := httpserve.Listen("127.0.0.1:0", sample.New(worker, 1), nil, httpserve.DefaultLimits())
	if err != nil {
		return err
	}
	s.httpServers = append(s.httpServers, upstream)
	_, inner, _ := s.Addrs()
	g, err := guard.New(guard.Options{
		Entries: []string{inner}, Service: m.Name + "/" + m.Service,
		Worker: worker, Rack: domain + "-r1", Domain: domain, Region: "local", Slots: 8,
		Upstream: "http://" + upstream.Addr(), Path: "/", Logger: s.log, Software: telemetry.Version,
	})
	if err != nil {
		return err
	}
	s.guards = append(s.guards, g)
	return nil
}

// guardStopTimeout bounds the stop of the guards, which happens after the entry
// has stopped.
const guardStopTimeout = 5 * time.Second

// Run serves until ctx ends.
func (s *Standalone) Run(ctx context.Context) error {
	if err := s.writeRecords(ctx); err != nil {
		return err
	}
	for _, h := range s.httpServers {
		go func() { _ = h.Serve() }()
	}
	guards, stopGuards := context.WithCancel(context.Background())
	defer stopGuards()
	for _, g := range s.guards {
		go func() { _ = g.Run(guards) }()
	}
	err := s.Entry.Run(ctx)
	stopCtx, cancel := context.WithTimeout(context.Background(), guardStopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, g := range s.guards {
		wg.Go(func() { _ = g.Stop(stopCtx) }) // no task is in flight once the entry has stopped
	}
	wg.Wait()
	for _, h := range s.httpServers {
		_ = h.Stop(stopCtx)
	}
	s.kv.Close()
	return err
}

// writeRecords writes the sample members and services to the embedded store.
func (s *Standalone) writeRecords(ctx context.Context) error {
	kv := store.NewEtcd(store.Options{
		Endpoints: []string{"http://store.invalid"}, Transport: &standin.Transport{Handler: s.kv},
	})
	put := func(kind record.Kind, name, value string) error {
		if _, err := record.ParseAs(kind, name, []byte(value)); err != nil {
			return fmt.Errorf("sample %s %s: %w", kind, name, err)
		}
		_, err := kv.Put(ctx, record.Key(kind, name), []byte(value), 0, 0)
		return err
	}
	for _, m := range SampleMembers() {
		hash := record.HashToken(m.Token)
		member := fmt.Sprintf(`{"kind":"member","name":%q,"schema":1,"token_sha256":["%x"]}`, m.Name, hash[:])
		service := fmt.Sprintf(`{"kind":"service","name":"%s/%s","schema":1,"path":"/"}`, m.Name, m.Service)
		if err := errors.Join(put(record.KindMember, m.Name, member), put(record.KindService, m.Name+"/"+m.Service, service)); err != nil {
			return err
		}
	}
	// The capacity command uses this service with workers of its own.
	return put(record.KindService, "ayni/measure", `{"kind":"service","name":"ayni/measure","schema":1,"path":"/"}`)
}

// AwaitReady waits until a configuration is in force and every guard is linked,
// or until ctx ends.
func (s *Standalone) AwaitReady(ctx context.Context) error {
	const pollInterval = 10 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !s.server.Ready() || s.server.UsableGuards() < len(s.guards) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("standalone did not become ready: %w", ctx.Err())
		}
	}
	return nil
}
