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

// OrderHandler takes what the operators have written.
type OrderHandler interface {
	// Offer takes a configuration.
	OfferConfig(version int64, document []byte) error
	// OfferDrains takes the failure domains that are drained.
	OfferDrains(d *wire.Drains)
	// NoteUnknownOrder takes a key that this program has no meaning for.
	NoteUnknownOrder(key string)
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
func (s *Source) Follow(ctx context.Context, handler OrderHandler) {
	isReachable := true
	onAnswer := func() {
		if !isReachable {
			s.Returns.announce()
		}
		s.logReachability(&isReachable, true, nil)
	}
	for ctx.Err() == nil {
		err := s.followOnce(ctx, handler, onAnswer)
		if err != nil && ctx.Err() == nil {
			s.logReachability(&isReachable, errors.Is(err, store.ErrCompacted), err)
			pause.For(ctx, jitter(storeRetryDelay))
		}
	}
}

func (s *Source) logReachability(wasReachable *bool, isReachable bool, err error) {
	if *wasReachable == isReachable {
		return
	}
	*wasReachable = isReachable
	if isReachable {
		s.Log.Info("store answers again")
		return
	}
	s.Log.Warn("store does not answer", "err", err)
}

func (s *Source) followOnce(ctx context.Context, handler OrderHandler, onAnswer func()) error {
	kvs, revision, err := s.Store.Range(ctx, s.Prefix)
	if err != nil {
		return fmt.Errorf("read the operators' orders: %w", err)
	}
	onAnswer()
	drainedDomains := make(map[string]bool)
	var events []store.Event
	for _, kv := range kvs {
		events = append(events, store.Event{KV: kv})
	}
	s.deliver(handler, drainedDomains, revision, events)
	batches := make(chan store.Batch, 1)
	failed := make(chan error, 1)
	go func() { failed <- s.Store.Watch(ctx, s.Prefix, revision, batches) }()
	for batch := range batches {
		s.deliver(handler, drainedDomains, batch.Revision, batch.Events)
	}
	if err := <-failed; err != nil {
		return fmt.Errorf("watch the operators' orders: %w", err)
	}
	return nil
}

// deliver passes on what was read or has changed, as of a revision. The drains come first: an
// entry must not begin to work by a configuration while it knows of none.
func (s *Source) deliver(handler OrderHandler, drainedDomains map[string]bool, revision int64, events []store.Event) {
	var others []store.Event
	for _, e := range events {
		domain, isDrain := strings.CutPrefix(e.KV.Key, s.Drains)
		switch err := validateDomain(domain); {
		case !isDrain:
			others = append(others, e)
		case err != nil:
			s.Metrics.Inc(telemetry.ForeignItems)
			s.Log.Warn("drain passed over", "key", e.KV.Key, "err", err)
		case e.Deleted:
			delete(drainedDomains, domain)
		default:
			drainedDomains[domain] = true
		}
	}
	handler.OfferDrains(&wire.Drains{Revision: revision, Domains: slices.Sorted(maps.Keys(drainedDomains))})
	for _, e := range others {
		switch {
		case e.KV.Key != s.Key:
			handler.NoteUnknownOrder(e.KV.Key)
		case !e.Deleted:
			s.offerConfig(e.KV, handler)
		}
	}
}

// validateDomain tells why a word is no name of a failure domain, or nil.
func validateDomain(name string) error {
	if name == "" || len(name) > maxDomainNameBytes || strings.ContainsFunc(name, isInvalidInName) {
		return fmt.Errorf("%w: %q is no name of a failure domain", ErrForeign, name)
	}
	return nil
}

// maxDomainNameBytes bounds the name of a failure domain, in bytes.
const maxDomainNameBytes = 100

func isInvalidInName(r rune) bool { return r == '/' || !unicode.IsPrint(r) || unicode.IsSpace(r) }

func (s *Source) offerConfig(kv store.KV, handler OrderHandler) {
	version, err := s.Version(kv.Value)
	if err == nil {
		err = handler.OfferConfig(version, kv.Value)
	}
	if err != nil {
		s.Log.Error("configuration refused, the last one stays in force", "revision", kv.ModRevision, "err", err)
	}
}
