package batchnode

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"wigeontray/internal/identity"
	"wigeontray/internal/runs"
)

// Limits of the texts that a guard caches for others.
const (
	// textRetention is how long a text is cached. Tasks of the job that are placed later do
	// not find it and get it from their entry.
	textRetention = 2 * time.Second
	// textWaitTimeout is how long a request waits for a text that this guard has not received
	// yet.
	textWaitTimeout = 60 * time.Millisecond
	// maxCachedTextBytes is the total size of cached texts above which the oldest ones are
	// evicted before another text is added.
	maxCachedTextBytes = 1 << 20
	// maxFetchedTextBytes is the maximum size of a text fetched from another guard.
	maxFetchedTextBytes = 1 << 20
)

// TextsPath is the HTTP path at which a guard serves texts to other guards.
const TextsPath = "/inner/texts/"

// textKey identifies a text. The job ID alone is not unique: it is chosen by the caller, and two
// entries may have jobs of the same ID with different texts.
type textKey struct {
	entry identity.Incarnation
	job   string
}

// cachedText is a text, or the placeholder for one that has not arrived; ready is closed when it
// arrives.
type cachedText struct {
	text      string
	ready     chan struct{}
	expiresAt time.Time
}

// Texts caches the texts of jobs for other guards that run tasks of the same jobs, so that an
// entry with a slow uplink sends each text to one guard only.
type Texts struct {
	mu             sync.Mutex
	byKey          map[textKey]*cachedText
	insertionOrder []textKey // oldest first; without placeholders
	totalBytes     int
}

// NewTexts returns an empty cache.
func NewTexts() *Texts { return &Texts{byKey: make(map[textKey]*cachedText)} }

// add caches a text for textRetention. An empty text, or one that is cached already, is ignored.
func (t *Texts) add(k textKey, text string) {
	if text == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(time.Now())
	cached := t.getOrCreate(k)
	if cached.text != "" {
		return
	}
	cached.text, cached.expiresAt = text, time.Now().Add(textRetention)
	close(cached.ready)
	t.insertionOrder = append(t.insertionOrder, k)
	t.totalBytes += len(text)
}

// getOrCreate returns the cached text or the placeholder for it. mu must be held.
func (t *Texts) getOrCreate(k textKey) *cachedText {
	cached := t.byKey[k]
	if cached == nil {
		cached = &cachedText{ready: make(chan struct{})}
		t.byKey[k] = cached
	}
	return cached
}

// evict removes expired texts, and the oldest ones until at most maxCachedTextBytes are left. mu
// must be held.
func (t *Texts) evict(now time.Time) {
	for len(t.insertionOrder) > 0 {
		k := t.insertionOrder[0]
		cached := t.byKey[k]
		if now.Before(cached.expiresAt) && t.totalBytes <= maxCachedTextBytes {
			return
		}
		t.insertionOrder = t.insertionOrder[1:]
		t.totalBytes -= len(cached.text)
		delete(t.byKey, k)
	}
}

// get returns a text if it is cached or arrives within textWaitTimeout. A request may be earlier
// than the text, because the frame with the text and the frame that refers the other guard to
// this one take different paths.
func (t *Texts) get(ctx context.Context, k textKey) (string, bool) {
	t.mu.Lock()
	cached := t.getOrCreate(k)
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, textWaitTimeout)
	defer cancel()
	select {
	case <-cached.ready:
		return cached.text, true
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey[k] == cached && cached.text == "" {
		delete(t.byKey, k) // other requests that wait for it time out as well
	}
	return cached.text, cached.text != ""
}

// ServeHTTP serves cached texts to other guards.
func (t *Texts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k := textKey{entry: identity.Incarnation(r.URL.Query().Get("entry")), job: r.URL.Query().Get("job")}
	text, ok := t.get(r.Context(), k)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // on a failure the other guard gets the text from its entry
}

// Limits of the HTTP connections to other guards.
const (
	textConnectTimeout      = 40 * time.Millisecond
	textIdleTimeout         = 10 * time.Second
	maxIdleTextConnsPerHost = 2
)

// TextClient fetches texts from other guards.
type TextClient struct{ http *http.Client }

// NewTextClient returns a client without open connections.
func NewTextClient() *TextClient {
	d := &net.Dialer{Timeout: textConnectTimeout, KeepAlive: -1}
	return &TextClient{http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: textIdleTimeout, MaxIdleConnsPerHost: maxIdleTextConnsPerHost, DisableCompression: true,
	}}}
}

// Fetch fetches the text of a job.
func (c *TextClient) Fetch(ctx context.Context, f *runs.Fetch) (string, error) {
	query := url.Values{"entry": {string(f.From)}, "job": {f.Job}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.Source+TextsPath+"?"+query.Encode(), nil)
	if err != nil {
		return "", fmt.Errorf("fetch text: %w", err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("fetch text: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("fetch text: %s", response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxFetchedTextBytes))
	switch {
	case err != nil:
		return "", fmt.Errorf("fetch text: %w", err)
	case len(text) == 0 || int64(len(text)) != response.ContentLength:
		return "", errors.New("fetch text: response is empty or truncated")
	}
	return string(text), nil
}
