package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"wigeontray/internal/proctest"
	"wigeontray/internal/record"
	"wigeontray/internal/wire"
)

// Limits of the entry under test.
const (
	crowdMemory          = 64 << 20 // bytes
	crowdDescriptors     = 900
	crowdFileDescriptors = 200 // of them; sockets share the others
	crowdMaxBody         = 1 << 20
	crowdMaxHead         = 16 << 10
)

// crowdSettings are the settings of an entry on a machine with little memory.
var crowdSettings = fmt.Sprintf("[limits]\nmemory_bytes = %d\nbody_bytes = %d\n", crowdMemory, crowdMaxBody)

// crowdFleet is an entry and a worker, and members that send as crowds.
type crowdFleet struct {
	*fleet
	entry *entryProcess
}

const (
	crowdToken      = "crowd-test-token"
	crowdOtherToken = "crowd-other-token"
)

func newCrowdFleet(t *testing.T) *crowdFleet {
	f := &crowdFleet{fleet: newFleet(t)}
	for member, token := range map[string]string{"crowd": crowdToken, "other": crowdOtherToken} {
		hash := record.HashToken(token)
		f.writeRecord(record.KindMember, member, fmt.Sprintf(`{"kind":"member","name":%q,"schema":1,"token_sha256":["%x"]}`, member, hash[:]), 0)
	}
	f.entrySettings, f.descriptors = crowdSettings, crowdDescriptors
	f.entry = f.startEntry("entry-1")
	f.startWorker("worker-1")
	f.serveOrdinaryRequest()
	return f
}

// serveOrdinaryRequest repeats an ordinary request, as a client does that is refused, until it is served.
func (f *crowdFleet) serveOrdinaryRequest() {
	f.t.Helper()
	f.eventually("an ordinary request is served", func() bool {
		req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.entry.url()+"/v1/jobs", strings.NewReader(`{"service":"reserva","tasks":[{"sleep_ms":1}]}`))
		f.Assert(err, qt.IsNil)
		req.Close = true
		req.Header.Set("Authorization", "Bearer "+memberToken)
		req.Header.Set("Idempotency-Key", newKey(f.t))
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode == http.StatusOK
	})
}

// play lets a crowd send, requires an ordinary request to be served while its connections are open, and checks that
// the entry stays within its memory.
func (f *crowdFleet) play(crowd *proctest.Crowd) { f.playWith(crowd, f.serveOrdinaryRequest) }

// playWith is play with an ordinary request of the caller's choice.
func (f *crowdFleet) playWith(crowd *proctest.Crowd, serveOrdinary func()) {
	f.t.Helper()
	watch := proctest.StartWatch(f.t, f.entry.Process, crowd.Address)
	crowd.Send(f.t)
	watch.Settle()
	serveOrdinary()
	select {
	case <-f.entry.Ended():
		f.Fatalf("the entry has ended: %v", f.entry.Wait())
	default:
	}
	used := watch.End(f.t)
	f.t.Logf("%+v", used)
	f.Check(used.Resident+used.Buffered <= crowdMemory, qt.IsTrue, qt.Commentf("%+v exceeds %d bytes", used, crowdMemory))
	f.Check(used.Sockets <= crowdDescriptors-crowdFileDescriptors, qt.IsTrue, qt.Commentf("%+v", used))
}

// newKey returns the key of a new job.
func newKey(t *testing.T) string {
	key, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	return key.String()
}

// crowdRequest returns the head of a submission of a new job by a client, with an additional header line.
func crowdRequest(t *testing.T, client int, header string) string {
	return submission(client, newKey(t), header)
}

// submission returns the head of a submission by a client, whose member is one of two.
func submission(client int, key, header string) string {
	return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\n%s\r\n\r\n",
		[]string{crowdToken, crowdOtherToken}[client%2], key, header)
}

// sizedBody returns a submission that repeats a text in its list of tasks up to the largest size, of which the last
// missing bytes are not sent.
func sizedBody(t *testing.T, client int, missing int64, task string) io.Reader {
	const begin, end = `{"service":"reserva","tasks":[0`, `]}`
	middle := int64(crowdMaxBody-len(begin)-len(end)) / int64(len(task)) * int64(len(task))
	length := int64(len(begin)+len(end)) + middle
	body := io.MultiReader(strings.NewReader(begin), proctest.Repeat(task, middle), strings.NewReader(end))
	return io.MultiReader(strings.NewReader(crowdRequest(t, client, fmt.Sprintf("Content-Length: %d", length))), io.LimitReader(body, length-missing))
}

// chunkedBody returns a submission of the largest size in chunks, without its end.
func chunkedBody(t *testing.T, client, chunkBytes int) io.Reader {
	return io.MultiReader(strings.NewReader(crowdRequest(t, client, "Transfer-Encoding: chunked")), proctest.Chunked("p", crowdMaxBody-1<<10, chunkBytes))
}

// Guards against an entry that runs out of memory or descriptors, or serves nobody, when members' callers send many
// requests of legal size at once and most stop just before the end and stay connected.
func TestCrowdOfMembers(t *testing.T) {
	largeTask := "," + `"` + strings.Repeat("p", 8<<10) + `"`
	for _, c := range []struct {
		name       string
		clients    int
		pieceBytes int
		bytes      func(client int) io.Reader
	}{
		{"whole bodies", 128, 0, func(client int) io.Reader { return sizedBody(t, client, 0, largeTask) }},
		{"bodies without their last byte", 128, 0, func(client int) io.Reader { return sizedBody(t, client, 1, largeTask) }},
		{"bodies piece by piece without their last byte", 128, 2 << 10, func(client int) io.Reader { return sizedBody(t, client, 1, largeTask) }},
		{"large chunks without an end", 128, 0, func(client int) io.Reader { return chunkedBody(t, client, 64<<10) }},
		{"small chunks without an end", 128, 0, func(client int) io.Reader { return chunkedBody(t, client, 16) }},
		{"bodies that decode to many tasks", 64, 0, func(client int) io.Reader { return sizedBody(t, client, 0, ",0") }},
		{"headers of many fields without an end", 600, 0, func(client int) io.Reader {
			var fields strings.Builder
			for i := 0; fields.Len() < crowdMaxHead-1<<10; i++ {
				fmt.Fprintf(&fields, "a%x:\r\n", i)
			}
			return strings.NewReader("POST /v1/jobs HTTP/1.1\r\nHost: h\r\n" + fields.String())
		}},
		{"connections that send nothing", 900, 0, func(int) io.Reader { return strings.NewReader("") }},
		{"responses that are not read", 900, 0, func(int) io.Reader {
			const request = "GET /v1/ticket HTTP/1.1\r\nHost: h\r\n\r\n"
			return proctest.Repeat(request, int64(20_000*len(request)))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrowdFleet(t)
			f.play(&proctest.Crowd{Address: f.entry.callers, Clients: c.clients, PieceBytes: c.pieceBytes, Bytes: c.bytes})
		})
	}
	for name, address := range map[string]func(*entryProcess) string{
		"inner address": func(e *entryProcess) string { return e.inner },
		"admin address": func(e *entryProcess) string { return e.admin },
	} {
		t.Run("headers at the "+name, func(t *testing.T) {
			f := newCrowdFleet(t)
			f.play(&proctest.Crowd{Address: address(f.entry), Clients: 900, Bytes: func(int) io.Reader { return strings.NewReader("GET /") }})
		})
	}
	t.Run("first frames without their last byte", func(t *testing.T) {
		f := newCrowdFleet(t)
		f.play(&proctest.Crowd{Address: f.entry.inner, Clients: 64, Bytes: func(int) io.Reader { return proctest.FirstFrame(wire.GuardPath, 8<<20) }})
	})
}

// Guards against a submission within the limits that is refused although nothing else is sent.
func TestLargestSubmissionIsServedInCalm(t *testing.T) {
	f := newCrowdFleet(t)
	const begin, end = `{"service":"reserva","tasks":[{"sleep_ms":1}`, `]}`
	padding := strings.Repeat(" ", crowdMaxBody-len(begin)-len(end))
	body := begin + padding + end
	head := func(header string) string {
		return fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\n%s\r\n\r\n", memberToken, newKey(t), header)
	}
	chunk := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, padding[:size]) }
	chunked := func(size int) string {
		return fmt.Sprintf("%x\r\n%s\r\n", len(begin), begin) + strings.Repeat(chunk(size), len(padding)/size-1) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(end), end)
	}
	for i, k := range []struct {
		pieceBytes int
		request    string
	}{
		{0, head(fmt.Sprintf("Content-Length: %d", len(body))) + body},
		{100, head(fmt.Sprintf("Content-Length: %d", len(body))) + body},
		{0, head("Transfer-Encoding: chunked") + chunked(64<<10)},
		{0, head("Transfer-Encoding: chunked") + chunked(16)},
	} {
		conn, err := net.Dial("tcp", f.entry.callers)
		f.Assert(err, qt.IsNil)
		defer conn.Close()
		f.Assert(proctest.Copy(conn, strings.NewReader(k.request), k.pieceBytes), qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		f.Assert(err, qt.IsNil)
		f.Check(response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
	}
}

// Guards against a member whose requests wait for an answer on all connections of an entry, so that other members
// cannot connect.
func TestCrowdOfWaitingRequests(t *testing.T) {
	f := newCrowdFleet(t)
	const job = `{"service":"reserva","deadline_ms":60000,"tasks":[{"sleep_ms":50000}]}`
	request := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		memberToken, newKey(t), len(job), job)
	f.playWith(&proctest.Crowd{Address: f.entry.callers, Clients: 900, Bytes: func(int) io.Reader { return strings.NewReader(request) }}, func() {
		f.eventually("another member's request is answered", func() bool {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.entry.url()+"/v1/ticket", nil)
			f.Assert(err, qt.IsNil)
			req.Close = true
			req.Header.Set("Authorization", "Bearer "+crowdOtherToken)
			client := &http.Client{Timeout: 10 * time.Second}
			res, err := client.Do(req)
			if err != nil {
				return false
			}
			defer res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
		isWaiting := strings.Contains(f.getAdmin(f.entry, "/metrics"), "\nwigeontray_jobs_open 1\n")
		f.Check(isWaiting, qt.IsTrue, qt.Commentf("the crowd's job has ended"))
	})
}
