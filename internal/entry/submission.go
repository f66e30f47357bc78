package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/jobs"
)

// MaxTasks is the greatest number of tasks in a job (letter 1).
const MaxTasks = 500

// Bounds on fields of a submission.
const (
	maxNameLen    = 128       // bytes of a name; records' names are shorter
	maxDeclaredMs = 3_600_000 // as in records; a longer estimate counts as this
)

// submission is the body of POST /v1/jobs.
type submission struct {
	// Service is the member's service; Job, in its place, a declared kind of job.
	Service string `json:"service"`
	Job     string `json:"job"`
	Team    string `json:"team"`
	// DeadlineMs is the time left for the whole answer, in milliseconds.
	DeadlineMs int64 `json:"deadline_ms"`
	DeclaredMs int64 `json:"declared_ms"`
	// Need of each task; 0 leaves what the records say.
	Accelerators int               `json:"accelerators"`
	MemoryMB     int               `json:"memory_mb"`
	Tasks        []json.RawMessage `json:"tasks"`
}

// parseSubmission reads and checks what can be checked without configuration.
func parseSubmission(body []byte) (*submission, *errkind.Error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	s := new(submission)
	if err := d.Decode(s); err != nil {
		return nil, errkind.New(errkind.BadRequest, "body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errkind.New(errkind.BadRequest, "body: more than one value")
	}
	switch {
	case max(len(s.Service), len(s.Job), len(s.Team)) > maxNameLen:
		// Refusals repeat the name and are held for resubmissions: names of
		// megabytes would push the member's other answers out of memory.
		return nil, errkind.New(errkind.BadRequest, "a name is longer than %d bytes", maxNameLen)
	case (s.Service == "") == (s.Job == ""):
		return nil, errkind.New(errkind.BadRequest, "want either service or job")
	case len(s.Tasks) == 0:
		return nil, errkind.New(errkind.BadRequest, "no tasks")
	case len(s.Tasks) > MaxTasks:
		return nil, errkind.New(errkind.TooManyTasks, "%d tasks, at most %d", len(s.Tasks), MaxTasks)
	case s.DeadlineMs < 0 || s.DeclaredMs < 0:
		return nil, errkind.New(errkind.BadRequest, "negative time")
	case s.Accelerators < 0 || s.MemoryMB < 0:
		return nil, errkind.New(errkind.BadRequest, "negative need")
	}
	return s, nil
}

// fingerprint digests what is asked for. The deadline is left out: it shrinks
// from one submission of the same job to the next.
func (s *submission) fingerprint() jobs.Fingerprint {
	h := sha256.New()
	field := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	field([]byte(s.Service))
	field([]byte(s.Job))
	field([]byte(s.Team))
	if need := s.need(); need != (dispatch.Need{}) {
		// Left out where there is none, so that entries of the version before
		// digest the same request alike.
		field(fmt.Appendf(nil, "need %d %d", need.Accelerators, need.MemoryMB))
	}
	for _, t := range s.Tasks {
		field(t)
	}
	return jobs.Fingerprint(h.Sum(nil)[:16])
}

func (s *submission) need() dispatch.Need {
	return dispatch.Need{Accelerators: s.Accelerators, MemoryMB: s.MemoryMB}
}

func (s *submission) bodies() [][]byte {
	out := make([][]byte, len(s.Tasks))
	for i, t := range s.Tasks {
		out[i] = t
	}
	return out
}

// readBody reads at most limit bytes of a request.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errkind.Error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, errkind.New(errkind.BadRequest, "body: %w", err)
	}
	return b, nil
}

// waitForever stands for no bound; jobs have deadlines of their own.
const waitForever = time.Hour

// preference reads the Prefer header (RFC 7240): how long the caller wants to
// wait for the answer. Without one it waits until the job is finished. With both
// preferences it waits for the time given, and is then told that the job runs.
func preference(r *http.Request) time.Duration {
	wait := waitForever
	for _, field := range r.Header.Values("Prefer") {
		for _, p := range strings.Split(field, ",") {
			p, _, _ = strings.Cut(p, ";") // parameters of a preference
			name, value, _ := strings.Cut(strings.TrimSpace(p), "=")
			switch strings.ToLower(strings.TrimSpace(name)) {
			case "respond-async":
				wait = 0
			case "wait":
				if d, ok := parseWait(value); ok {
					return d
				}
			}
		}
	}
	return wait
}

// parseWait reads the seconds of a wait. What is no number is passed over, as
// the RFC wants; more than the greatest one means no bound.
func parseWait(value string) (time.Duration, bool) {
	const bits = 12 // up to 4095 s
	s, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, bits)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return waitForever, true
	case err != nil:
		return 0, false
	}
	return time.Duration(s) * time.Second, true
}
