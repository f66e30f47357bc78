package record

import (
	"encoding/hex"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"wigeontray/internal/dispatch"
)

// Highest schema version of each kind that this build can read; the lowest is 1.
const (
	maxMemberSchema  = 1
	maxServiceSchema = 3
	maxPolicySchema  = 1
	maxJobSchema     = 2
)

// Limits and defaults of record fields.
const (
	MaxTasks           = 500 // per job
	maxTokens          = 2   // tokens or guard keys; two during a rotation
	maxTeams           = 1000
	maxDeadlineMs      = 3_600_000
	maxBodyBytes       = 4 << 20
	defaultBodyBytes   = 1 << 20
	defaultDeadlineMs  = 10_000
	millisPerSecond    = 1000
	minStartsPerSecond = 0.001
	maxQuotaValue      = 1e6 // starts per second, or burst
	maxWeight          = 1000
	maxQueued          = 1_000_000
	maxGraceMs         = 60_000
	maxAccelerators    = 64 // for one task
	maxMemoryMB        = 1 << 30
)

// TokenHash is the SHA-256 of a caller's token or a guard's key. A plain hash
// suffices because both are long random values, not passwords.
type TokenHash [32]byte

// Member is one member of the consortium.
type Member struct {
	Name string
	// HomeRegion is the region that serves the member's requests; empty for any.
	HomeRegion string
	// Tokens are the hashes of the valid tokens; there are two during a rotation.
	Tokens []TokenHash
	// GuardKeys are the hashes of the keys that the member's guards may use to
	// open links; there are two during a rotation. If it is empty, the guards use
	// the fleet's key.
	GuardKeys []TokenHash
	// Teams are the team names that submissions may use.
	Teams []string
}

// Service is a type of request that a member's upstreams serve.
type Service struct {
	Name              string // "member/service"
	Path              string // request path at the upstream
	DefaultDeadlineMs int64  // for submissions without a deadline
	MaxTasks          int
	MaxBody           int64 // maximum bytes of a task's body
	// DeclaredMs is the declared run time of a task; 0 if not declared.
	DeclaredMs int64
	Need       dispatch.Need // for tasks that declare none
}

// Policy sets how tasks of one service are admitted and placed.
type Policy struct {
	Name     string // "member/service", as the service
	Dispatch dispatch.Policy
}

// Job is a declared kind of job. Its limits take the place of its service's; MaxTasks
// can only lower the service's limit.
type Job struct {
	Name       string // "member/job"
	Service    string // "member/service"
	DeadlineMs int64  // for submissions without a deadline
	MaxTasks   int
	DeclaredMs int64 // declared run time of a task; 0 keeps the service's
	// Need is the resource requirement of a task; a zero field defaults to the
	// service's.
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
		// With the guard key, which is on every upstream's VM, anybody with
		// access to the VM could submit jobs as the member.
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

// readHashes reads the hashes of the secrets that are valid now.
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

// readService reads a service of any schema. Schema 3 added the resource
// requirements of a task. Schema 1 has the deadline as "deadline_ms", the run time
// in seconds as "run_s", and no limit on bodies.
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
		p.Weighting = dispatch.PreferFewMessages
	}
	p.MaxQueued = int(o.intField("max_queued", int64(p.MaxQueued), 0, maxQueued))
	p.RetryRatio = o.floatField("retry_ratio", p.RetryRatio, 0, 1)
	p.GracePeriod = milliseconds(o.intField("grace_ms", p.GracePeriod.Milliseconds(), 0, maxGraceMs))
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
		// A default for these would be ambiguous: no starts at all, or an
		// unlimited number.
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
		// Otherwise a member could run work on another member's service.
		o.addError("service", "%q belongs to another member", j.Service)
	}
	return j
}
