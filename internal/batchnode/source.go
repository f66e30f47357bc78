package batchnode

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"

	"github.com/charmbracelet/log"

	"wigeontray/internal/pause"
	"wigeontray/internal/store"
	"wigeontray/internal/telemetry"
	"wigeontray/internal/wire"
)

// Orders takes what the operators have written.
type Orders interface {
	// Offer takes a configuration.
	Offer(version int64, document []byte) error
	// OfferDrains takes the failure domains that are drained.
	OfferDrains(d *wire.Drains)
	// NoteUnknown takes a key that this program has no meaning for.
	NoteUnknown(key string)
}

// Source is where the operators' orders are followed.
type Source struct {
	Store  store.Store
	Prefix string // of all orders
	Key    string // that holds the whole configuration
	Drains string // prefix of the keys that name a failure domain to drain
	// Version reads a document's version.
	Version func(document []byte) (int64, error)
	Log     *log.Logger
	Metrics *telemetry.Registry
	Returns *StoreReturns // told when the store answers again; may be nil
}

// Follow offers the orders, and what changes of them, until ctx ends.
func (s *Source) Follow(ctx context.Context, to Orders) {
	up := true
	answered := func() {
		if !up {
			s.Returns.announce()
		}
		s.logChange(&up, true, nil)
	}
	for ctx.Err() == nil {
		err := s.followOnce(ctx, to, answered)
		if err != nil && ctx.Err() == nil {
			s.logChange(&up, errors.Is(err, store.ErrCompacted), err)
			pause.For(ctx, spread(storePause))
		}
	}
}

func (s *Source) logChange(up *bool, now bool, err error) {
	if *up == now {
		return
	}
	*up = now
	if now {
		s.Log.Info("store answers again")
		return
	}
	s.Log.Warn("store does not answer", "err", err)
}

func (s *Source) followOnce(ctx context.Context, to Orders, answered func()) error {
	kvs, revision, err := s.Store.Range(ctx, s.Prefix)
	if err != nil {
		return fmt.Errorf("read the operators' orders: %w", err)
	}
	answered()
	drained := make(map[string]bool)
	var events []store.Event
	for _, kv := range kvs {
		events = append(events, store.Event{KV: kv})
	}
	s.take(to, drained, revision, events)
	out := make(chan store.Batch, 1)
	failed := make(chan error, 1)
	go func() { failed <- s.Store.Watch(ctx, s.Prefix, revision, out) }()
	for b := range out {
		s.take(to, drained, b.Revision, b.Events)
	}
	if err := <-failed; err != nil {
		return fmt.Errorf("watch the operators' orders: %w", err)
	}
	return nil
}

// take passes on what was read or has changed, as of a revision. The drains come first: an
// entry must not begin to work by a configuration while it knows of none.
func (s *Source) take(to Orders, drained map[string]bool, revision int64, events []store.Event) {
	var rest []store.Event
	for _, e := range events {
		domain, isDrain := strings.CutPrefix(e.KV.Key, s.Drains)
		switch err := checkDomain(domain); {
		case !isDrain:
			rest = append(rest, e)
		case err != nil:
			s.Metrics.Inc(telemetry.ForeignItems)
			s.Log.Warn("drain passed over", "key", e.KV.Key, "err", err)
		case e.Deleted:
			delete(drained, domain)
		default:
			drained[domain] = true
		}
	}
	to.OfferDrains(&wire.Drains{Revision: revision, Domains: slices.Sorted(maps.Keys(drained))})
	for _, e := range rest {
		switch {
		case e.KV.Key != s.Key:
			to.NoteUnknown(e.KV.Key)
		case !e.Deleted:
			s.offer(e.KV, to)
		}
	}
}

// checkDomain tells why a word is no name of a failure domain, or nil.
func checkDomain(name string) error {
	if name == "" || len(name) > mostDomainName || strings.ContainsFunc(name, notInName) {
		return fmt.Errorf("%w: %q is no name of a failure domain", ErrForeign, name)
	}
	return nil
}

// mostDomainName bounds the name of a failure domain, in bytes.
const mostDomainName = 100

func notInName(r rune) bool { return r == '/' || !unicode.IsPrint(r) || unicode.IsSpace(r) }

func (s *Source) offer(kv store.KV, to Orders) {
	version, err := s.Version(kv.Value)
	if err == nil {
		err = to.Offer(version, kv.Value)
	}
	if err != nil {
		s.Log.Error("configuration refused, the last one stays in force", "revision", kv.ModRevision, "err", err)
	}
}
