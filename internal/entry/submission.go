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
	"wigeontray/internal/httpserve"
	"wigeontray/internal/jobs"
	"wigeontray/internal/jsonlimit"
)

// MaxTasks is the largest number of tasks in a job, as given by the product's
// requirements.
const MaxTasks = 500

// Limits on fields of a submission.
const (
	maxNameBytes  = 128       // in bytes; names in records are shorter
	maxDeclaredMs = 3_600_000 // the same limit as in records; a longer estimate is reduced to it
)

// submission is the request body of POST /v1/jobs.
type submission struct {
	// Either Service names a service of the member, or Job names a declared kind of
	// job.
	Service string `json:"service"`
	Job     string `json:"job"`
	Team    string `json:"team"`
	// DeadlineMs is the time allowed for the complete answer, in milliseconds.
	DeadlineMs int64 `json:"deadline_ms"`
	// DeclaredMs is the caller's estimate of a task's run time, in milliseconds.
	DeclaredMs int64 `json:"declared_ms"`
	// Resources that each task needs; 0 uses the value from the records.
	Accelerators int      `json:"accelerators"`
	MemoryMB     int      `json:"memory_mb"`
	Tasks        taskList `json:"tasks"`
}

// parseSubmission decodes a submission and makes the checks that do not depend on
// the configuration.
func parseSubmission(body []byte) (*submission, *errkind.Error) {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	s := new(submission)
	if err := d.Decode(s); err != nil {
		if tooLong, ok := errors.AsType[*jsonlimit.TooLongError](err); ok {
			return nil, errkind.New(errkind.TooManyTasks, "%d tasks, at most %d", tooLong.Count, tooLong.Most)
		}
		return nil, errkind.New(errkind.BadRequest, "body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errkind.New(errkind.BadRequest, "body: more than one value")
	}
	switch {
	case max(len(s.Service), len(s.Job), len(s.Team)) > maxNameBytes:
		// Refusals repeat the name and are kept for resubmissions: names of
		// megabytes would evict the member's other answers from memory.
		return nil, errkind.New(errkind.BadRequest, "a name is longer than %d bytes", maxNameBytes)
	case (s.Service == "") == (s.Job == ""):
		return nil, errkind.New(errkind.BadRequest, "want either service or job")
	case len(s.Tasks) == 0:
		return nil, errkind.New(errkind.BadRequest, "no tasks")
	case s.DeadlineMs < 0 || s.DeclaredMs < 0:
		return nil, errkind.New(errkind.BadRequest, "negative time")
	case s.Accelerators < 0 || s.MemoryMB < 0:
		return nil, errkind.New(errkind.BadRequest, "negative need")
	}
	return s, nil
}

// fingerprint returns a digest of the requested work. The deadline is not included,
// because it decreases with each resubmission of the same job.
func (s *submission) fingerprint() jobs.Fingerprint {
	h := sha256.New()
	writeField := func(b []byte) {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(b)))
		h.Write(n[:])
		h.Write(b)
	}
	writeField([]byte(s.Service))
	writeField([]byte(s.Job))
	writeField([]byte(s.Team))
	if need := s.need(); need != (dispatch.Need{}) {
		// Omitted if empty, so that entries of the previous version compute the
		// same digest for the same request.
		writeField(fmt.Appendf(nil, "need %d %d", need.Accelerators, need.MemoryMB))
	}
	for _, t := range s.Tasks {
		writeField(t)
	}
	return jobs.Fingerprint(h.Sum(nil)[:16])
}

func (s *submission) need() dispatch.Need {
	return dispatch.Need{Accelerators: s.Accelerators, MemoryMB: s.MemoryMB}
}

// taskOverheadBytes is the memory of a task beside its body.
const taskOverheadBytes = 256

// bytes returns the memory of the submission's job.
func (s *submission) bytes() int64 {
	sum := 0
	for _, t := range s.Tasks {
		sum += len(t) + taskOverheadBytes
	}
	return int64(sum)
}

func (s *submission) bodies() [][]byte {
	out := make([][]byte, len(s.Tasks))
	for i, t := range s.Tasks {
		out[i] = t
	}
	return out
}

// readBody reads a request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errkind.Error) {
	b, err := httpserve.ReadBody(w, r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, errkind.New(errkind.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case errors.Is(err, httpserve.ErrNoMemory):
		return nil, errOverMemory(err)
	case err != nil:
		return nil, errkind.New(errkind.BadRequest, "body: %w", err)
	}
	return b, nil
}

// errOverMemory returns the refusal of a request that does not fit into the memory for requests.
func errOverMemory(err error) *errkind.Error {
	return errkind.New(errkind.TooManyJobs, "%w", err).WithAfter(usageRetryDelay)
}

// taskList is a list of at most MaxTasks tasks. A longer one is refused before it takes memory.
type taskList []json.RawMessage

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(b []byte) error {
	return jsonlimit.List(b, (*[]json.RawMessage)(l), MaxTasks)
}

// maxWait is used when the caller sets no limit on the wait; jobs end earlier by
// their own deadlines.
const maxWait = time.Hour

// parsePrefer reads the Prefer header (RFC 7240) and returns how long the caller
// wants to wait for the answer. Without a preference, the request waits until the
// job is finished. If both respond-async and wait are given, it waits for the given
// time and is then answered that the job is running.
func parsePrefer(r *http.Request) time.Duration {
	wait := maxWait
	for _, field := range r.Header.Values("Prefer") {
		for _, p := range strings.Split(field, ",") {
			p, _, _ = strings.Cut(p, ";") // drop the parameters of the preference
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

// parseWait parses the seconds of a wait preference. A value that is not a number
// is ignored, as the RFC requires; a number that is too large means no limit.
func parseWait(value string) (time.Duration, bool) {
	const bitSize = 12 // up to 4095 s
	s, err := strconv.ParseUint(strings.Trim(strings.TrimSpace(value), `"`), 10, bitSize)
	switch {
	case errors.Is(err, strconv.ErrRange):
		return maxWait, true
	case err != nil:
		return 0, false
	}
	return time.Duration(s) * time.Second, true
}
