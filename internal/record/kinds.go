package record

import (
	"encoding/hex"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"wigeontray/internal/dispatch"
)

// Schema versions that this build understands: 1 up to these.
const (
	maxMemberSchema  = 1
	maxServiceSchema = 3
	maxPolicySchema  = 1
	maxJobSchema     = 2
)

// Limits and defaults of fields.
const (
	MaxTasks           = 500 // tasks in a job
	maxTokens          = 2   // of tokens or guard keys; the second one while they are changed over
	maxTeams           = 1000
	maxDeadlineMs      = 3_600_000
	maxBodyBytes       = 4 << 20
	defaultBodyBytes   = 1 << 20
	defaultDeadlineMs  = 10_000
	millisPerSecond    = 1000
	minStartsPerSecond = 0.001 // starts a second
	maxQuotaValue      = 1e6
	maxWeight          = 1000
	maxQueued          = 1_000_000
	maxGraceMs         = 60_000
	maxAccelerators    = 64 // of one task
	maxMemoryMB        = 1 << 30
)

// TokenHash is the SHA-256 of a caller's token or a guard's key. A plain hash is
// enough since both are random and long; they are no passwords.
type TokenHash [32]byte

// Member is one member of the consortium.
type Member struct {
	Name string
	// HomeRegion serves the member's requests; empty for any region.
	HomeRegion string
	// Tokens are the hashes of the tokens that are good now: two while one is
	// being replaced by another.
	Tokens []TokenHash
	// GuardKeys are the hashes of the keys with which the member's guards may open
	// links, two during a rotation; none leaves the fleet's key.
	GuardKeys []TokenHash
	// Teams may be named in submissions.
	Teams []string
}

// Service is one kind of request that a member's upstreams serve.
type Service struct {
	Name              string // "member/service"
	Path              string // path at the upstream
	DefaultDeadlineMs int64  // deadline of a submission that names none
	MaxTasks          int
	MaxBody           int64 // bytes of one task's body
	// DeclaredMs is the declared run time of a task; 0 for none.
	DeclaredMs int64
	Need       dispatch.Need // of a task that names none
}

// Policy is how one service's work is admitted and placed.
type Policy struct {
	Name     string // the service's
	Dispatch dispatch.Policy
}

// Job is a declared kind of job: limits tighter than its service's.
type Job struct {
	Name       string // "member/job"
	Service    string // "member/service"
	DeadlineMs int64
	MaxTasks   int
	DeclaredMs int64
	// Need of a task; a field that is 0 leaves the service's.
	Need dispatch.Need
}

var (
	pathPattern   = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)
	regionPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	teamPattern   = regionPattern
)

func readMember(o *objectReader, name string) *Member {
	m := &Member{Name: name, HomeRegion: o.stringField("home_region", "")}
	if m.HomeRegion != "" && !regionPattern.MatchString(m.HomeRegion) {
		o.addError("home_region", "%q is not a region's name", m.HomeRegion)
	}
	m.Tokens = readHashes(o, "token_sha256")
	m.GuardKeys = readHashes(o, "guard_key_sha256")
	for i, h := range m.GuardKeys {
		// Whoever has the VM of an upstream could submit as the member.
		if slices.Contains(m.Tokens, h) {
			o.addError("guard_key_sha256."+strconv.Itoa(i), "is a caller's token as well")
		}
	}
	m.Teams = o.strings("teams", maxTeams)
	for i, team := range m.Teams {
		if !teamPattern.MatchString(team) {
			o.addError("teams."+strconv.Itoa(i), "%q is not a team's name", team)
		}
	}
	return m
}

// readHashes reads the hashes of the secrets that are good now.
func readHashes(o *objectReader, field string) []TokenHash {
	var out []TokenHash
	for i, text := range o.strings(field, maxTokens) {
		h, ok := parseHash(text)
		if !ok {
			o.addError(field+"."+strconv.Itoa(i), "want 64 lower-case hexadecimal digits")
		}
		out = append(out, h)
	}
	return out
}

func parseHash(text string) (h TokenHash, ok bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(h) || strings.ToLower(text) != text {
		return h, false
	}
	return TokenHash(b), true
}

// readService reads all schemas. Schema 3 added the need of a task. Schema 1 had the deadline as "deadline_ms",
// the run time in seconds as "run_s", and no limit on bodies.
func readService(o *objectReader, name string, schema int64) *Service {
	s := &Service{Name: name, Path: o.stringField("path", "/"), MaxBody: defaultBodyBytes}
	s.MaxTasks = int(o.intField("max_tasks", MaxTasks, 1, MaxTasks))
	if !pathPattern.MatchString(s.Path) {
		o.addError("path", "%q: want an absolute path without query", s.Path)
	}
	if schema == 1 {
		s.DefaultDeadlineMs = o.intField("deadline_ms", defaultDeadlineMs, 1, maxDeadlineMs)
		s.DeclaredMs = int64(o.floatField("run_s", 0, 0, maxDeadlineMs/millisPerSecond) * millisPerSecond)
		return s
	}
	s.DefaultDeadlineMs = o.intField("default_deadline_ms", defaultDeadlineMs, 1, maxDeadlineMs)
	s.DeclaredMs = o.intField("declared_ms", 0, 0, maxDeadlineMs)
	if schema >= 3 {
		s.Need = readNeed(o)
	}
	s.MaxBody = o.intField("max_body", defaultBodyBytes, 1, maxBodyBytes)
	return s
}

func readNeed(o *objectReader) dispatch.Need {
	return dispatch.Need{
		Accelerators: int(o.intField("accelerators", 0, 0, maxAccelerators)),
		MemoryMB:     int(o.intField("memory_mb", 0, 0, maxMemoryMB)),
	}
}

func readPolicy(o *objectReader, name string) *Policy {
	p := dispatch.DefaultPolicy()
	if o.enumField("weighting", "response", "response", "messages") == "messages" {
		p.Weighting = dispatch.WeighMessages
	}
	p.MaxQueued = int(o.intField("max_queued", int64(p.MaxQueued), 0, maxQueued))
	p.RetryRatio = o.floatField("retry_ratio", p.RetryRatio, 0, 1)
	p.Grace = milliseconds(o.intField("grace_ms", p.Grace.Milliseconds(), 0, maxGraceMs))
	p.Teams = readQuotas(o.objectReader("teams"))
	return &Policy{Name: name, Dispatch: p}
}

func readQuotas(teams *objectReader) map[string]dispatch.Quota {
	fieldNames := teams.fieldNames()
	if len(fieldNames) > maxTeams {
		teams.addError("", "more than %d teams", maxTeams)
		return nil
	}
	out := make(map[string]dispatch.Quota, len(fieldNames))
	for _, name := range fieldNames {
		if !teamPattern.MatchString(name) {
			teams.addError(name, "not a team's name")
		}
		q := teams.objectReader(name)
		// Without these two it would be open whether the team may start nothing
		// or as much as it likes.
		q.requireFields("starts_per_second", "burst")
		out[name] = dispatch.Quota{
			StartsPerSecond: q.floatField("starts_per_second", 0, minStartsPerSecond, maxQuotaValue),
			Burst:           q.floatField("burst", 0, 1, maxQuotaValue),
			Weight:          q.floatField("weight", 1, 0, maxWeight),
		}
		q.checkNoFieldsLeft()
	}
	return out
}

func readJob(o *objectReader, name string, schema int64) *Job {
	j := &Job{Name: name, Service: o.stringField("service", "")}
	j.DeadlineMs = o.intField("deadline_ms", defaultDeadlineMs, 1, maxDeadlineMs)
	j.MaxTasks = int(o.intField("max_tasks", MaxTasks, 1, MaxTasks))
	j.DeclaredMs = o.intField("declared_ms", 0, 0, maxDeadlineMs)
	if schema >= 2 {
		j.Need = readNeed(o)
	}
	if err := CheckName(KindService, j.Service); err != nil {
		o.addError("service", "%q: want member/service", j.Service)
	} else if Owner(j.Service) != Owner(name) {
		// A job of one member on another's service would run a rival's work.
		o.addError("service", "%q belongs to another member", j.Service)
	}
	return j
}
