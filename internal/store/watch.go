package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"wigeontray/internal/store/etcdjson"
)

// Watch delivers the changes under prefix after revision. It uses the endpoint
// that answered last and does not change over by itself: the caller reopens.
func (e *Etcd) Watch(ctx context.Context, prefix string, revision int64, out chan<- Batch) error {
	defer close(out)
	if len(e.endpoints) == 0 {
		return fmt.Errorf("store watch: %w", ErrUnavailable)
	}
	req := etcdjson.WatchRequest{Create: etcdjson.WatchCreate{
		Key: []byte(prefix), RangeEnd: etcdjson.PrefixEnd(prefix), StartRevision: revision + 1,
	}}
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("store watch: %w", err)
	}
	at := e.preferred.Load() % uint32(len(e.endpoints))
	err = e.stream(ctx, e.endpoints[at]+etcdjson.PathWatch, body, out)
	if errors.Is(err, ErrUnavailable) && ctx.Err() == nil {
		e.preferred.Store((at + 1) % uint32(len(e.endpoints)))
	}
	return fmt.Errorf("store watch: %w", err)
}

// stream reads one watch to its end. The error is never nil.
func (e *Etcd) stream(ctx context.Context, url string, body []byte, out chan<- Batch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := e.post(ctx, "watch", url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	open := metrics.GetOrRegisterCounter("store.watches_open", e.registry)
	open.Inc(1)
	defer open.Dec(1)
	lines := json.NewDecoder(resp.Body)
	for {
		var msg etcdjson.WatchMessage
		if err := lines.Decode(&msg); err != nil {
			return streamEnd(ctx, err)
		}
		if err := deliver(ctx, msg, out); err != nil {
			return err
		}
	}
}

func streamEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: stream ended", ErrUnavailable)
	}
	return fmt.Errorf("%w: stream: %w", ErrUnavailable, err)
}

func deliver(ctx context.Context, msg etcdjson.WatchMessage, out chan<- Batch) error {
	if msg.Error != nil {
		return errorOf(http.StatusInternalServerError, *msg.Error)
	}
	r := msg.Result
	switch {
	case r == nil:
		return nil
	case r.CompactRevision > 0:
		return fmt.Errorf("%w: oldest is %d", ErrCompacted, r.CompactRevision)
	case r.Canceled:
		return fmt.Errorf("%w: cancelled: %s", ErrUnavailable, r.CancelReason)
	case len(r.Events) == 0:
		return nil
	}
	select {
	case out <- toBatch(r.Events):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// toBatch takes the batch's revision from its events. The header's is the
// store's own and can be ahead of a batch that is one of several: a watch
// resumed from there would leave out changes for good.
func toBatch(events []etcdjson.Event) Batch {
	var b Batch
	for _, ev := range events {
		b.Events = append(b.Events, Event{KV: toKV(ev.KV), Deleted: ev.Type == etcdjson.EventDelete})
		b.Revision = max(b.Revision, ev.KV.ModRevision)
	}
	return b
}
