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

// SyncedConfig implements Config on top of a confsync.Sync.
type SyncedConfig struct {
	sync   *confsync.Sync
	region string
}

// NewSyncedConfig returns the Config of an entry in the given region.
func NewSyncedConfig(s *confsync.Sync, region string) *SyncedConfig {
	return &SyncedConfig{sync: s, region: region}
}

// Revision implements Config.
func (c *SyncedConfig) Revision() int64 { return c.sync.Revision() }

// SnapshotForPeers implements Config.
func (c *SyncedConfig) SnapshotForPeers() *wire.Config { return configMessage(c.sync.Encoded()) }

// SnapshotForGuard implements Config.
func (c *SyncedConfig) SnapshotForGuard(service string) (*wire.Config, []byte) {
	f := configMessage(c.sync.EncodedForGuard(service))
	if f == nil {
		return nil, nil
	}
	return f, record.GuardServiceRecord(f.Snapshot)
}

// configMessage returns the message that carries an encoded snapshot, or nil if
// there is none. It ignores err, because a snapshot that was decoded or built here
// can always be encoded.
func configMessage(b []byte, revision int64, err error) *wire.Config {
	if err != nil || b == nil {
		return nil
	}
	return &wire.Config{Revision: revision, Snapshot: b}
}

// ReceiveFromPeer implements Config. Snapshots that are rejected are counted by
// confsync.
func (c *SyncedConfig) ReceiveFromPeer(offered *wire.Config) {
	if offered.Revision > c.sync.Revision() {
		_, _ = c.sync.Offer(offered.Snapshot)
	}
}

// ReceiveFromGuard implements Config.
func (c *SyncedConfig) ReceiveFromGuard(offered *wire.Config) {
	if offered.Revision > c.sync.Revision() {
		_, _ = c.sync.OfferFromGuard(offered.Snapshot)
	}
}

// MemberForToken implements Config.
func (c *SyncedConfig) MemberForToken(token string) (string, bool) {
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

// CheckRegion implements Config. A job key must have exactly one owner worldwide.
// Rosters are kept per region, so a member's requests are accepted in a single
// region only.
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
	if err := checkTeam(snap, member, s.Team); err != nil {
		return "", ServiceLimits{}, err
	}
	if s.Job != "" {
		return resolveJob(snap, member, s)
	}
	sv, ok := snap.Service(member + "/" + s.Service)
	if !ok {
		return "", ServiceLimits{}, errkind.New(errkind.UnknownService, "no service %q", s.Service)
	}
	return sv.Name, serviceLimits(sv), checkBodySizes(sv, s)
}

func serviceLimits(sv *record.Service) ServiceLimits {
	return ServiceLimits{
		Deadline: time.Duration(sv.DefaultDeadlineMs) * time.Millisecond,
		MaxTasks: sv.MaxTasks, DeclaredMs: sv.DeclaredMs, Need: sv.Need,
	}
}

// resolveJob returns the limits of a service, overridden by those of a declared
// kind of job; the task limit can only be lowered.
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
	return sv.Name, l, checkBodySizes(sv, s)
}

// overrideNeed replaces those fields of need that override sets.
func overrideNeed(need, override dispatch.Need) dispatch.Need {
	if override.Accelerators > 0 {
		need.Accelerators = override.Accelerators
	}
	if override.MemoryMB > 0 {
		need.MemoryMB = override.MemoryMB
	}
	return need
}

func checkBodySizes(sv *record.Service, s *submission) *errkind.Error {
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

// checkTeam refuses a team that the member has not declared, because no quota would
// apply to it.
func checkTeam(snap *record.Snapshot, member, team string) *errkind.Error {
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

// Watch implements Config.
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
