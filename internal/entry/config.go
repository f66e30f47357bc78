package entry

import (
	"context"
	"sync"
	"time"

	"wigeontray/internal/confsync"
	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/seal"
	"wigeontray/internal/wire"
)

// SyncedConfig is the Config that confsync keeps fresh.
type SyncedConfig struct {
	sync   *confsync.Sync
	region string
	box    *seal.Box
	forged func() // counts a snapshot that is not of this fleet

	mu      sync.Mutex
	encoded *wire.Config // of the snapshot at its Revision
}

// NewSyncedConfig serves s to an entry in region. Snapshots travel in box;
// forged is called for each that does not open.
func NewSyncedConfig(s *confsync.Sync, region string, box *seal.Box, forged func()) *SyncedConfig {
	return &SyncedConfig{sync: s, region: region, box: box, forged: forged}
}

// Revision implements Config.
func (c *SyncedConfig) Revision() int64 { return c.sync.Revision() }

// Encoded implements Config. A snapshot is encoded and sealed once, however many guards
// there are to send it to.
func (c *SyncedConfig) Encoded() *wire.Config {
	snap := c.sync.Current()
	if snap == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.encoded.Revision == snap.Revision {
		return c.encoded
	}
	b, err := snap.Encode()
	if err != nil {
		return nil // a snapshot that was decoded or built encodes
	}
	c.encoded = &wire.Config{Revision: snap.Revision, Snapshot: c.box.Seal(snap.Revision, b)}
	return c.encoded
}

// Offer implements Config.
func (c *SyncedConfig) Offer(offered *wire.Config) {
	if offered.Revision <= c.sync.Revision() {
		return
	}
	b, err := c.box.Open(offered.Revision, offered.Snapshot)
	if err != nil {
		c.forged()
		return
	}
	_, _ = c.sync.Offer(b) // confsync counts what it cannot take
}

// Member implements Config.
func (c *SyncedConfig) Member(token string) (string, bool) {
	snap := c.sync.Current()
	if snap == nil {
		return "", false
	}
	m, ok := snap.MemberByToken(token)
	if !ok {
		return "", false
	}
	return m.Name, true
}

// CheckRegion implements Config. An identity must have one owner in the world;
// since rosters are kept for each region, a member's requests are accepted in
// one region only.
func (c *SyncedConfig) CheckRegion(member string) *errkind.Error {
	m, ok := c.sync.Current().Member(member)
	if !ok || m.HomeRegion == "" || m.HomeRegion == c.region {
		return nil
	}
	return errkind.New(errkind.WrongRegion, "%s is served in %s", member, m.HomeRegion)
}

// Resolve implements Config.
func (c *SyncedConfig) Resolve(member string, s *submission) (string, ServiceLimits, *errkind.Error) {
	snap := c.sync.Current()
	if err := knownTeam(snap, member, s.Team); err != nil {
		return "", ServiceLimits{}, err
	}
	if s.Job != "" {
		return resolveJob(snap, member, s)
	}
	sv, ok := snap.Service(member + "/" + s.Service)
	if !ok {
		return "", ServiceLimits{}, errkind.New(errkind.UnknownService, "no service %q", s.Service)
	}
	return sv.Name, serviceLimits(sv), checkBodies(sv, s)
}

func serviceLimits(sv *record.Service) ServiceLimits {
	return ServiceLimits{
		Deadline: time.Duration(sv.DefaultDeadlineMs) * time.Millisecond,
		MaxTasks: sv.MaxTasks, DeclaredMs: sv.DeclaredMs,
	}
}

// resolveJob tightens a service's limits by those of a declared kind of job.
func resolveJob(snap *record.Snapshot, member string, s *submission) (string, ServiceLimits, *errkind.Error) {
	j, ok := snap.Job(member + "/" + s.Job)
	if !ok {
		return "", ServiceLimits{}, errkind.New(errkind.UnknownService, "no kind of job %q", s.Job)
	}
	sv, ok := snap.Service(j.Service)
	if !ok {
		return "", ServiceLimits{}, errkind.New(errkind.UnknownService, "no service %q", j.Service)
	}
	l := serviceLimits(sv)
	if j.DeadlineMs > 0 {
		l.Deadline = time.Duration(j.DeadlineMs) * time.Millisecond
	}
	if j.MaxTasks > 0 {
		l.MaxTasks = min(l.MaxTasks, j.MaxTasks)
	}
	if j.DeclaredMs > 0 {
		l.DeclaredMs = j.DeclaredMs
	}
	return sv.Name, l, checkBodies(sv, s)
}

func checkBodies(sv *record.Service, s *submission) *errkind.Error {
	if sv.MaxBody == 0 {
		return nil
	}
	for i, t := range s.Tasks {
		if int64(len(t)) > sv.MaxBody {
			return errkind.New(errkind.TooLarge, "task %d has %d bytes, at most %d", i, len(t), sv.MaxBody)
		}
	}
	return nil
}

// knownTeam refuses teams that the member has not declared: an invented team
// would have no quota.
func knownTeam(snap *record.Snapshot, member, team string) *errkind.Error {
	if team == "" {
		return nil
	}
	if m, ok := snap.Member(member); ok {
		for _, t := range m.Teams {
			if t == team {
				return nil
			}
		}
	}
	return errkind.New(errkind.BadRequest, "the member has no team %q", team)
}

// Policy implements Config.
func (c *SyncedConfig) Policy(service string) dispatch.Policy {
	if snap := c.sync.Current(); snap != nil {
		return snap.PolicyFor(service)
	}
	return dispatch.DefaultPolicy()
}

// Watch calls f after each change of the snapshot until ctx ends.
func (c *SyncedConfig) Watch(ctx context.Context, f func()) {
	changed, stop := c.sync.Subscribe()
	defer stop()
	for {
		select {
		case <-changed:
			f()
		case <-ctx.Done():
			return
		}
	}
}
