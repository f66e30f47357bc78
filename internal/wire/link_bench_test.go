package wire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkLink sends a start over loopback and waits for its result, which is the traffic
// of one task on a link of an entry.
func BenchmarkLink(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, err := Accept(w, r, nil)
		if err != nil {
			return
		}
		for {
			f, err := l.Recv(context.Background())
			if err != nil || l.Send(&Frame{Result: &Result{Ref: f.Start.Ref, Status: http.StatusOK}}) != nil {
				return
			}
		}
	}))
	defer server.Close()
	l, err := Dial(context.Background(), "ws"+server.URL[len("http"):], http.DefaultClient, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close("benchmark ends")
	start := &Frame{Start: &Start{Ref: Ref{Member: "ayni", Key: "key"}, Of: 1, LeftMs: 1000}}
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Send(start); err != nil {
			b.Fatal(err)
		}
		if _, err := l.Recv(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}
