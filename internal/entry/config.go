package entry

import (
	"context"
	"time"

	"wigeontray/internal/confsync"
	"wigeontray/internal/dispatch"
	"wigeontray/internal/errkind"
	"wigeontray/internal/record"
	"wigeontray/internal/wire"
)

// SyncedConfig is the Config that confsync keeps fresh.
type SyncedConfig struct {
	sync   *confsync.Sync
	region string
}

// NewSyncedConfig serves s to an entry in region.
func NewSyncedConfig(s *confsync.Sync, region string) *SyncedConfig {
	return &SyncedConfig{sync: s, region: region}
}

// Revision implements Config.
func (c *SyncedConfig) Revision() int64 { return c.sync.Revision() }

// ForPeers implements Config.
func (c *SyncedConfig) ForPeers() *wire.Config { return frame(c.sync.Encoded()) }

// ForGuard implements Config.
func (c *SyncedConfig) ForGuard(service string) (*wire.Config, []byte) {
	f := frame(c.sync.EncodedFor(service))
	if f == nil {
		return nil, nil
	}
	return f, record.OwnRecord(f.Snapshot)
}

// frame gives the message for a snapshot; nil where there is none. A snapshot
// that was decoded or built encodes, so that errors leave nothing out.
func frame(b []byte, revision int64, err error) *wire.Config {
	if err != nil || b == nil {
		return nil
	}
	return &wire.Config{Revision: revision, Snapshot: b}
}

// FromPeer implements Config. confsync counts what it cannot take.
func (c *SyncedConfig) FromPeer(offered *wire.Config) {
	if offered.Revision > c.sync.Revision() {
		_, _ = c.sync.Offer(offered.Snapshot)
	}
}

// FromGuard implements Config.
func (c *SyncedConfig) FromGuard(offered *wire.Config) {
	if offered.Revision > c.sync.Revision() {
		_, _ = c.sync.OfferFromGuard(offered.Snapshot)
	}
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

// GuardKeys implements Config.
func (c *SyncedConfig) GuardKeys(member string) ([]record.TokenHash, bool) {
	snap := c.sync.Current()
	if snap == nil {
		return nil, false
	}
	m, ok := snap.Member(member)
	if !ok {
		return nil, false
	}
	return m.GuardKeys, true
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
		MaxTasks: sv.MaxTasks, DeclaredMs: sv.DeclaredMs, Need: sv.Need,
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
	l.Need = overrideNeed(l.Need, j.Need)
	return sv.Name, l, checkBodies(sv, s)
}

// overrideNeed replaces the fields of a need that a closer declaration sets.
func overrideNeed(need, by dispatch.Need) dispatch.Need {
	if by.Accelerators > 0 {
		need.Accelerators = by.Accelerators
	}
	if by.MemoryMB > 0 {
		need.MemoryMB = by.MemoryMB
	}
	return need
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
