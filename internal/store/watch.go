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

// Watch implements Store. It uses the preferred endpoint and does not fail over:
// the caller calls Watch again.
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
	index := e.preferredEndpoint.Load() % uint32(len(e.endpoints))
	err = e.readStream(ctx, e.endpoints[index]+etcdjson.PathWatch, body, out)
	if errors.Is(err, ErrUnavailable) && ctx.Err() == nil {
		e.preferredEndpoint.Store((index + 1) % uint32(len(e.endpoints)))
	}
	return fmt.Errorf("store watch: %w", err)
}

// readStream reads one watch stream to its end. It always returns a non-nil
// error.
func (e *Etcd) readStream(ctx context.Context, url string, body []byte, out chan<- Batch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := e.post(ctx, "watch", url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	openWatches := metrics.GetOrRegisterCounter("store.watches_open", e.registry)
	openWatches.Inc(1)
	defer openWatches.Dec(1)
	decoder := json.NewDecoder(resp.Body)
	for {
		var msg etcdjson.WatchMessage
		if err := decoder.Decode(&msg); err != nil {
			return streamError(ctx, err)
		}
		if err := deliverMessage(ctx, msg, out); err != nil {
			return err
		}
	}
}

func streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: stream ended", ErrUnavailable)
	}
	return fmt.Errorf("%w: stream: %w", ErrUnavailable, err)
}

// deliverMessage sends the events of one message to out. It returns an error if
// the message ends the watch.
func deliverMessage(ctx context.Context, msg etcdjson.WatchMessage, out chan<- Batch) error {
	if msg.Error != nil {
		return gatewayError(http.StatusInternalServerError, *msg.Error)
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

// toBatch derives the batch's revision from its events. The revision in the
// header is that of the store and can be ahead of a batch that is one of
// several. A watch resumed from it would skip changes permanently.
func toBatch(events []etcdjson.Event) Batch {
	var b Batch
	for _, ev := range events {
		b.Events = append(b.Events, Event{KV: toKV(ev.KV), Deleted: ev.Type == etcdjson.EventDelete})
		b.Revision = max(b.Revision, ev.KV.ModRevision)
	}
	return b
}
