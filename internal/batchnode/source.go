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

// OrderHandler handles the orders that operators write to the store.
type OrderHandler interface {
	// OfferConfig handles a configuration document.
	OfferConfig(version int64, document []byte) error
	// OfferDrains handles the set of drained failure domains.
	OfferDrains(d *wire.Drains)
	// NoteUnknownOrder handles a key that this version does not support.
	NoteUnknownOrder(key string)
}

// Source watches the orders of the operators in the store.
type Source struct {
	Store  store.Store
	Prefix string // prefix of the keys of all orders
	Key    string // key of the configuration document
	Drains string // prefix of the drain keys; the rest of a key is the failure domain
	// Version extracts the version of a document.
	Version  func(document []byte) (int64, error)
	Log      *log.Logger
	Metrics  *telemetry.Registry
	Recovery *StoreRecovery // notified when the store is reachable again; may be nil
}

// Follow reads the orders and watches them for changes until ctx ends, and passes them to
// handler.
func (s *Source) Follow(ctx context.Context, handler OrderHandler) {
	isReachable := true
	onAnswer := func() {
		if !isReachable {
			s.Recovery.announce()
		}
		s.logReachability(&isReachable, true, nil)
	}
	for ctx.Err() == nil {
		err := s.followOnce(ctx, handler, onAnswer)
		if err != nil && ctx.Err() == nil {
			s.logReachability(&isReachable, errors.Is(err, store.ErrCompacted), err)
			pause.For(ctx, pause.Jitter(storeRetryDelay))
		}
	}
}

// logReachability logs a change of the store's reachability and stores it in wasReachable.
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

// followOnce reads all orders and watches them until the watch fails or ctx ends. onAnswer is
// called after a successful read.
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

// deliver passes the given events, as of a revision, to handler. Drains are passed first, because
// an entry must not activate a configuration before it has received the drains.
func (s *Source) deliver(handler OrderHandler, drainedDomains map[string]bool, revision int64, events []store.Event) {
	var others []store.Event
	for _, e := range events {
		domain, isDrain := strings.CutPrefix(e.KV.Key, s.Drains)
		switch err := validateDomain(domain); {
		case !isDrain:
			others = append(others, e)
		case err != nil:
			s.Metrics.Inc(telemetry.MalformedItems)
			s.Log.Warn("invalid drain key ignored", "key", e.KV.Key, "err", err)
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

// validateDomain returns an error if name is not a valid name of a failure domain.
func validateDomain(name string) error {
	if name == "" || len(name) > maxDomainNameBytes || strings.ContainsFunc(name, isInvalidInName) {
		return fmt.Errorf("%w: %q is not a valid failure domain name", ErrUnexpectedForm, name)
	}
	return nil
}

// maxDomainNameBytes is the maximum length of the name of a failure domain.
const maxDomainNameBytes = 100

func isInvalidInName(r rune) bool { return r == '/' || !unicode.IsPrint(r) || unicode.IsSpace(r) }

func (s *Source) offerConfig(kv store.KV, handler OrderHandler) {
	version, err := s.Version(kv.Value)
	if err == nil {
		err = handler.OfferConfig(version, kv.Value)
	}
	if err != nil {
		s.Log.Error("configuration rejected, the previous one stays active", "revision", kv.ModRevision, "err", err)
	}
}
