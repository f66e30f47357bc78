package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"wigeontray/internal/store/etcdjson"
)

// Defaults and limits of the client.
const (
	DefaultTimeout          = 2 * time.Second
	maxResponseSize         = 64 << 20 // bytes read of a response other than a watch stream
	maxErrorBodySize        = 4 << 10  // bytes read of an error response
	maxIdleConnsPerEndpoint = 4        // idle connections kept for each endpoint
	latencySampleSize       = 256      // latencies kept for each method
)

// tcpKeepAlive detects a connection that broke without a FIN or RST (a failed
// switch, a replaced VM) after about six seconds. Without these probes a watch
// on such a connection would wait for hours while the entry used an outdated
// configuration.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 3 * time.Second, Interval: time.Second, Count: 3}

// Options configures an Etcd client.
type Options struct {
	// Endpoints are base URLs such as "http://10.0.0.5:2379".
	Endpoints []string
	// Timeout bounds each attempt of every call except Watch; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// CallsPerSecond limits the call rate of this process; 0 means no limit.
	// Calls above the limit wait, so that a bug in this process cannot use up
	// the service's rate limit.
	CallsPerSecond float64
	// Registry receives the counters; nil means a registry private to the
	// client.
	Registry metrics.Registry
	// Transport replaces the network transport, for a store in the same
	// process.
	Transport http.RoundTripper
}

// Etcd is a Store that uses the JSON gateway of etcd v3.
type Etcd struct {
	endpoints         []string
	timeout           time.Duration
	client            *http.Client
	limiter           *rate.Limiter
	registry          metrics.Registry
	preferredEndpoint atomic.Uint32 // index of the endpoint that the next call tries first
}

var _ Store = (*Etcd)(nil)

// NewEtcd returns a client. It opens no connection before the first call.
func NewEtcd(o Options) *Etcd {
	e := &Etcd{timeout: o.Timeout, registry: o.Registry, limiter: rate.NewLimiter(rate.Inf, 0)}
	for _, u := range o.Endpoints {
		e.endpoints = append(e.endpoints, strings.TrimRight(u, "/"))
	}
	if e.timeout <= 0 {
		e.timeout = DefaultTimeout
	}
	if o.CallsPerSecond > 0 {
		e.limiter = rate.NewLimiter(rate.Limit(o.CallsPerSecond), max(1, int(o.CallsPerSecond)))
	}
	if e.registry == nil {
		e.registry = metrics.NewRegistry()
	}
	transport := o.Transport
	if transport == nil {
		transport = newTransport(e.timeout)
	}
	e.client = &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
	return e
}

func newTransport(timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: tcpKeepAlive}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSHandshakeTimeout: timeout,
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     time.Minute,
	}
}

// refuseRedirect keeps net/http from following redirects: on a 307 or 308 it
// would send the POST again, with its body, to another address.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Range implements Store.
func (e *Etcd) Range(ctx context.Context, prefix string) ([]KV, int64, error) {
	req := etcdjson.RangeRequest{Key: []byte(prefix), RangeEnd: etcdjson.PrefixEnd(prefix)}
	var resp etcdjson.RangeResponse
	if err := e.callIdempotent(ctx, "range", etcdjson.PathRange, req, &resp); err != nil {
		return nil, 0, err
	}
	kvs := make([]KV, 0, len(resp.KVs))
	for _, kv := range resp.KVs {
		kvs = append(kvs, toKV(kv))
	}
	return kvs, resp.Header.Revision, nil
}

// PrefixState returns a summary of a prefix. It costs one call with a small
// response, so that callers can check cheaply whether the prefix changed.
func (e *Etcd) PrefixState(ctx context.Context, prefix string) (PrefixState, error) {
	req := etcdjson.RangeRequest{
		Key: []byte(prefix), RangeEnd: etcdjson.PrefixEnd(prefix), Limit: 1, KeysOnly: true,
		SortTarget: etcdjson.TargetMod, SortOrder: etcdjson.SortDescend,
	}
	var resp etcdjson.RangeResponse
	if err := e.callIdempotent(ctx, "latest", etcdjson.PathRange, req, &resp); err != nil {
		return PrefixState{}, err
	}
	state := PrefixState{Count: resp.Count, Revision: resp.Header.Revision}
	if len(resp.KVs) > 0 {
		state.ModRevision = resp.KVs[0].ModRevision
	}
	return state, nil
}

// Put implements Store.
func (e *Etcd) Put(ctx context.Context, key string, value []byte, expectedRevision int64, lease LeaseID) (int64, error) {
	put := etcdjson.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return e.compareAndSwap(ctx, "put", key, expectedRevision, etcdjson.RequestOp{Put: &put})
}

// Delete implements Store.
func (e *Etcd) Delete(ctx context.Context, key string, expectedRevision int64) (int64, error) {
	del := etcdjson.DeleteRequest{Key: []byte(key)}
	return e.compareAndSwap(ctx, "delete", key, expectedRevision, etcdjson.RequestOp{Delete: &del})
}

// compareAndSwap executes op if the key's ModRevision equals expectedRevision.
// Otherwise it returns a ConflictError.
func (e *Etcd) compareAndSwap(ctx context.Context, method, key string, expectedRevision int64, op etcdjson.RequestOp) (int64, error) {
	req := etcdjson.TxnRequest{
		Compare: []etcdjson.Compare{{
			Key: []byte(key), Target: etcdjson.TargetMod, Result: etcdjson.CompareEqual, ModRevision: expectedRevision,
		}},
		Success: []etcdjson.RequestOp{op},
		Failure: []etcdjson.RequestOp{{Range: &etcdjson.RangeRequest{Key: []byte(key)}}},
	}
	var resp etcdjson.TxnResponse
	if err := e.callNonIdempotent(ctx, method, etcdjson.PathTxn, req, &resp); err != nil {
		return 0, err
	}
	if !resp.Succeeded {
		return 0, fmt.Errorf("store %s: %w", method, newConflictError(key, resp.Responses))
	}
	return resp.Header.Revision, nil
}

func newConflictError(key string, responses []etcdjson.ResponseOp) *ConflictError {
	c := &ConflictError{Current: KV{Key: key}}
	for _, r := range responses {
		if r.Range != nil && len(r.Range.KVs) > 0 {
			c.Current = toKV(r.Range.KVs[0])
		}
	}
	return c
}

// Grant implements Store. The service counts in whole seconds; ttl is rounded
// up.
func (e *Etcd) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp etcdjson.LeaseResponse
	if err := e.callNonIdempotent(ctx, "grant", etcdjson.PathGrant, etcdjson.GrantRequest{TTL: seconds}, &resp); err != nil {
		return 0, err
	}
	return LeaseID(resp.ID), nil
}

// KeepAlive implements Store. Renewing a lease is idempotent, so the call may
// be retried on another endpoint.
func (e *Etcd) KeepAlive(ctx context.Context, id LeaseID) error {
	var msg etcdjson.KeepAliveMessage
	err := e.callIdempotent(ctx, "keepalive", etcdjson.PathKeepAlive, etcdjson.LeaseRequest{ID: int64(id)}, &msg)
	if err != nil {
		return err
	}
	if msg.Result.TTL <= 0 {
		return fmt.Errorf("store keepalive: %w", ErrLeaseNotFound)
	}
	return nil
}

// Revoke implements Store.
func (e *Etcd) Revoke(ctx context.Context, id LeaseID) error {
	var resp etcdjson.LeaseResponse
	return e.callNonIdempotent(ctx, "revoke", etcdjson.PathRevoke, etcdjson.LeaseRequest{ID: int64(id)}, &resp)
}

func toKV(kv etcdjson.KeyValue) KV {
	return KV{Key: string(kv.Key), Value: kv.Value, ModRevision: kv.ModRevision}
}

// callIdempotent sends an idempotent call to each endpoint in turn until one
// answers.
func (e *Etcd) callIdempotent(ctx context.Context, method, path string, req any, resp response) error {
	return e.call(ctx, method, path, req, resp, func(err error) bool { return errors.Is(err, ErrUnavailable) })
}

// callNonIdempotent sends a call that must not be repeated. It tries another
// endpoint only if no connection could be made, so that nothing was sent.
func (e *Etcd) callNonIdempotent(ctx context.Context, method, path string, req any, resp response) error {
	return e.call(ctx, method, path, req, resp, isNotSent)
}

// NextEndpoint makes later calls start at another endpoint. Callers use it when
// the responses of the current endpoint are stale or invalid.
func (e *Etcd) NextEndpoint() {
	if n := uint32(len(e.endpoints)); n > 0 {
		e.preferredEndpoint.Store((e.preferredEndpoint.Load() + 1) % n)
	}
}

// isNotSent reports whether err proves that the call never reached the service.
func isNotSent(err error) bool { return errors.Is(err, ErrNotSent) }

func (e *Etcd) call(ctx context.Context, method, path string, req any, resp response, shouldRetry func(error) bool) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("store %s: %w", method, err)
	}
	err = ErrNotSent // result for a client without endpoints
	first := int(e.preferredEndpoint.Load())
	for i := range e.endpoints {
		index := (first + i) % len(e.endpoints)
		err = e.attempt(ctx, method, e.endpoints[index]+path, body, resp)
		if errors.Is(err, ErrUnavailable) {
			// Later calls start at the next endpoint. Otherwise each of them
			// would first wait for the failed one.
			e.preferredEndpoint.Store(uint32((index + 1) % len(e.endpoints)))
		}
		if err == nil || !shouldRetry(err) || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("store %s: %w", method, err)
	}
	return nil
}

// attempt sends the call once. It counts as one call against the service's rate
// limit.
func (e *Etcd) attempt(ctx context.Context, method, url string, body []byte, resp response) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	start := time.Now()
	httpResp, err := e.post(ctx, method, url, body)
	if err != nil {
		return err
	}
	defer httpResp.Body.Close()
	if err := decodeResponse(httpResp.Body, resp); err != nil {
		e.count(method, "failed")
		return fmt.Errorf("%w: answer: %w", ErrUnavailable, err)
	}
	e.recordLatency(method, time.Since(start))
	return nil
}

// recordLatency uses a histogram because a Timer or Meter of go-metrics starts
// a goroutine that never ends.
func (e *Etcd) recordLatency(method string, d time.Duration) {
	h := e.registry.GetOrRegister("store.latency_us."+method, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize))
	})
	h.(metrics.Histogram).Update(d.Microseconds())
}

// post sends one request and converts a response with a status other than 200
// into an error.
func (e *Etcd) post(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	if err := e.limiter.Wait(ctx); err != nil {
		return nil, fmt.Errorf("%w: rate of calls: %w", ErrNotSent, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport resends a request on its own if it can rewind the body and
	// considers the request replayable. A resent write would conflict with its
	// own first copy and be reported as a conflict with another operator.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	e.count(method, "calls")
	resp, err := e.client.Do(req)
	if err != nil {
		e.count(method, "failed")
		return nil, fmt.Errorf("%w: %w", classifySendError(err), err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		e.count(method, "refused")
		return nil, responseError(resp)
	}
	return resp, nil
}

func (e *Etcd) count(method, event string) {
	metrics.GetOrRegisterCounter("store."+event+"."+method, e.registry).Inc(1)
}
