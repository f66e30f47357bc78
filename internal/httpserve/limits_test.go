package httpserve

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"wigeontray/internal/membudget"
)

// bodySize responds with the size of a request's body, or with 503 if there is no memory for it.
func bodySize(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, 1<<20)
	switch {
	case errors.Is(err, ErrNoMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		fmt.Fprint(w, len(body))
	}
}

const kib = 1 << 10

// newLimitedServer serves bodySize with a budget.
func newLimitedServer(t *testing.T, budget int64, maxConnections int) *testServer {
	l := testLimits()
	l.HeaderBytes, l.MaxConnections, l.Budget = 16*kib, maxConnections, membudget.New(budget)
	s := newTestServer(t, bodySize, l)
	s.budget = l.Budget
	return s
}

func postHeader(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against large bodies that stop just before their end and keep others out.
func TestStalledBodyYieldsAndIsRefused(t *testing.T) {
	for name, k := range map[string]struct {
		budget  int64
		stalled string
	}{
		"with its length": {800 * kib, postHeader(300*kib) + strings.Repeat("p", 300*kib-1)},
		"in chunks":       {800 * kib, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\np\r\n", 300*kib)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLimitedServer(t, k.budget, 10)
				c := s.mustDial()
				c.send(k.stalled)
				synctest.Wait()
				s.Assert(s.budget.Stats().Charged > 200*kib, qt.IsTrue)
				other := s.mustDial()
				other.send(postHeader(250*kib) + strings.Repeat("p", 250*kib))
				s.Assert(s.readResponse(other).StatusCode, qt.Equals, http.StatusOK)
				s.Assert(s.readResponse(c).StatusCode, qt.Equals, http.StatusServiceUnavailable)
				synctest.Wait()
				s.Check(s.budget.Stats().Charged, qt.Equals, int64(0))
			})
		})
	}
}

// Guards against a body of legal size that is refused although nothing else uses the memory.
func TestLargestBodyIsReadInCalm(t *testing.T) {
	body := strings.Repeat("p", 1<<20)
	for name, request := range map[string]string{
		"whole":        postHeader(len(body)) + body,
		"large chunks": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10000\r\n"+body[:64*kib]+"\r\n", 16) + "0\r\n\r\n",
		"small chunks": "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\np\r\n", len(body)) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLimitedServer(t, 2<<20, 10)
				c := s.mustDial()
				c.send(request)
				response := s.readResponse(c)
				s.Check(response.StatusCode, qt.Equals, http.StatusOK)
				s.Check(response.ContentLength, qt.Equals, int64(len(fmt.Sprint(len(body)))))
			})
		})
	}
}

// manyFields returns lines of a header of about n bytes.
func manyFields(n int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < n; i++ {
		fmt.Fprintf(&fields, "a%x:\r\n", i)
	}
	return fields.String()
}

// Guards against headers of many short fields, which take twenty times their text.
func TestFieldsOfAnUnfinishedHeaderAreCharged(t *testing.T) {
	fields := manyFields(12 * kib)
	for name, request := range map[string]string{
		"first request":     "GET / HTTP/1.1\r\nHost: a\r\n" + fields,
		"pipelined request": "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n" + fields,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newLimitedServer(t, 1<<20, 10)
				c := s.mustDial()
				c.send(request)
				if strings.HasPrefix(name, "pipelined") {
					s.readResponse(c)
				}
				synctest.Wait()
				charged := s.budget.Stats().Charged
				s.Check(charged >= int64(strings.Count(fields, "\n")*fieldCost)-membudget.FreeBytes, qt.IsTrue, qt.Commentf("%d bytes", charged))
			})
		})
	}
}

// Guards against ordinary requests that need more than the free bytes of their connection.
func TestOrdinaryHeaderCostsLittle(t *testing.T) {
	var m headerMeter
	request := "POST /q/1 HTTP/1.1\r\nHost: a\r\nDeadline-Ms: 5000\r\nContent-Length: 4000\r\n\r\n"
	cost := m.consume([]byte(request[:20]))
	cost += m.consume([]byte(request[20:] + strings.Repeat("\n", 4000)))
	qt.Check(t, cost, qt.Equals, int64(len(request)+4*fieldCost))
}

// Guards against a body whose lines are charged as fields of a header, or a header whose fields are not, for any split of
// the bytes among reads.
func TestEndOfHeaderIsFoundInAnySplit(t *testing.T) {
	const header, body = "GET / HTTP/1.1\r\nHost: a\r\n \n b\r\nX: y\r\n\r\n", "\n{}\n\r\n\r\nmore\n"
	for i := range len(header + body) {
		var m headerMeter
		m.consume([]byte((header + body)[:i]))
		m.consume([]byte((header + body)[i:]))
		qt.Check(t, m.bytes, qt.Equals, int64(len(header)), qt.Commentf("split at %d", i))
		qt.Check(t, m.cost, qt.Equals, int64(len(header)+5*fieldCost), qt.Commentf("split at %d", i))
	}
}

// Guards against clients that keep all connections open without a request and keep others out.
func TestWaitingConnectionsAreClosedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLimitedServer(t, 1<<20, 4)
		inHeader, inBody, idle, unused := s.mustDial(), s.mustDial(), s.mustDial(), s.mustDial()
		inHeader.send("POST /")
		inBody.send(postHeader(5) + "ab")
		idle.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n")
		s.readResponse(idle)
		synctest.Wait()
		for _, closed := range []*clientConn{inHeader, inBody, unused} {
			time.Sleep(2 * evictAfter)
			s.mustDial()
			timeUntilClosed(closed)
		}
	})
}

// Guards against a request that is dropped for a new connection while it is served.
func TestServedConnectionsAreNotClosedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.MaxConnections = 1
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Minute)
			w.WriteHeader(http.StatusOK)
		}, l)
		c := s.mustDial()
		c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		time.Sleep(30 * time.Second)
		_, ok := s.dial()
		s.Check(ok, qt.IsFalse)
		s.Check(s.readResponse(c).StatusCode, qt.Equals, http.StatusOK)
	})
}

// Guards against clients that do not read their responses and hold their connections for good.
func TestUnreadResponseClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := testLimits()
		l.ResponseTimeout, l.MaxConnections = 10*time.Second, 1
		s := newTestServer(t, echo, l)
		c := s.mustDial()
		c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n") // a pipe has no buffer: the response waits for its reader
		time.Sleep(11 * time.Second)
		s.mustDial()
	})
}
