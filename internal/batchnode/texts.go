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

// Bounds of the texts that a guard has ready for others.
const (
	// textRetention is how long a text is ready. All tasks of a job are placed within that
	// time, or fetch it in vain and get it from their entry.
	textRetention = 2 * time.Second
	// textWaitTimeout is how long a request waits for a text that is still on its way here.
	textWaitTimeout = 60 * time.Millisecond
	// maxCachedTextBytes bounds what is ready; beyond it the oldest text goes.
	maxCachedTextBytes = 1 << 20
	// maxFetchedTextBytes bounds what is read of another guard's answer.
	maxFetchedTextBytes = 1 << 20
)

// TextsPath is where a guard serves texts to others.
const TextsPath = "/inner/texts/"

// textKey names a text: identities of jobs are chosen by callers, and two entries may have
// jobs of one name with different texts.
type textKey struct {
	entry identity.Incarnation
	job   string
}

// cachedText is a text, or the wait for one. ready is closed once it is there.
type cachedText struct {
	text      string
	ready     chan struct{}
	expiresAt time.Time
}

// Texts has the texts of jobs ready for other guards whose workers run tasks of them. An
// entry with a thin link sends a text to one guard only.
type Texts struct {
	mu             sync.Mutex
	byKey          map[textKey]*cachedText
	insertionOrder []textKey // oldest first
	totalBytes     int
}

// NewTexts returns an empty Texts.
func NewTexts() *Texts { return &Texts{byKey: make(map[textKey]*cachedText)} }

// add has a text ready for a while.
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

// getOrCreate gives the entry of a text. mu is held.
func (t *Texts) getOrCreate(k textKey) *cachedText {
	cached := t.byKey[k]
	if cached == nil {
		cached = &cachedText{ready: make(chan struct{})}
		t.byKey[k] = cached
	}
	return cached
}

// evict forgets texts whose time is over, and the oldest beyond maxCachedTextBytes. mu is held.
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

// get gives a text, if it is there or comes soon. It may be asked for before it has come:
// its frame and the one that leads here take different ways.
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
		delete(t.byKey, k) // nobody else is served worse: they time out alike
	}
	return cached.text, cached.text != ""
}

// ServeHTTP answers other guards.
func (t *Texts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k := textKey{entry: identity.Incarnation(r.URL.Query().Get("entry")), job: r.URL.Query().Get("job")}
	text, ok := t.get(r.Context(), k)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // a guard that has left gets the text from its entry
}

// Connections to other guards.
const (
	textConnectTimeout      = 40 * time.Millisecond
	textIdleTimeout         = 10 * time.Second
	maxIdleTextConnsPerHost = 2
)

// TextClient fetches texts from other guards.
type TextClient struct{ http *http.Client }

// NewTextClient returns a client without connections.
func NewTextClient() *TextClient {
	d := &net.Dialer{Timeout: textConnectTimeout, KeepAlive: -1}
	return &TextClient{http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: textIdleTimeout, MaxIdleConnsPerHost: maxIdleTextConnsPerHost, DisableCompression: true,
	}}}
}

// Fetch gets the text of a job.
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
		return "", errors.New("fetch text: the answer is cut")
	}
	return string(text), nil
}
