package batchnode

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/runs"
)

// Guards against tasks that are returned to their entry because their text was requested just
// before it arrived.
func TestTextCacheWaitsForArrivingText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		texts, k := NewTexts(), textKey{entry: "e", job: "j"}
		time.AfterFunc(textWaitTimeout/2, func() { texts.add(k, "text") })
		text, ok := texts.get(context.Background(), k)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, text, qt.Equals, "text")
		_, ok = texts.get(context.Background(), textKey{entry: "other", job: "j"})
		qt.Check(t, ok, qt.IsFalse)
		synctest.Wait()
	})
}

// Guards against cached texts that grow until the guard runs out of memory.
func TestTextCacheIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		texts := NewTexts()
		long := strings.Repeat("x", maxCachedTextBytes/10)
		for i := range 40 {
			texts.add(textKey{entry: "e", job: string(rune('a' + i))}, long)
			qt.Check(t, texts.totalBytes <= maxCachedTextBytes+len(long), qt.IsTrue)
		}
		time.Sleep(textRetention)
		texts.add(textKey{entry: "e", job: "last"}, "text")
		qt.Check(t, len(texts.byKey), qt.Equals, 1)
		texts.add(textKey{entry: "e", job: "empty"}, "")
		_, ok := texts.get(context.Background(), textKey{entry: "e", job: "empty"})
		qt.Check(t, ok, qt.IsFalse)
		qt.Check(t, len(texts.byKey), qt.Equals, 1)
	})
}

// Guards against a missing or truncated response of another guard being used as a text.
func TestFetchTextFromAnotherGuard(t *testing.T) {
	texts := NewTexts()
	texts.add(textKey{entry: "e/1", job: "j"}, "text")
	guard := httptest.NewServer(texts)
	defer guard.Close()
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "10")
		_, _ = w.Write([]byte("short"))
	}))
	defer cut.Close()
	c := NewTextClient()
	fetch := func(server *httptest.Server, job string) (string, error) {
		return c.Fetch(context.Background(), &runs.Fetch{From: "e/1", Job: job, Source: strings.TrimPrefix(server.URL, "http://")})
	}
	text, err := fetch(guard, "j")
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, text, qt.Equals, "text")
	_, err = fetch(guard, "none")
	qt.Check(t, err, qt.ErrorMatches, "fetch text: 404 .*")
	_, err = fetch(cut, "j")
	qt.Check(t, err, qt.IsNotNil)
}
