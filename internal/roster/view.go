package roster

import (
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
	"wigeontray/internal/rendezvous"
)

// View is an immutable snapshot of what one entry may start. The Machine publishes a
// new View whenever something changes, and request handlers load the latest one
// through an atomic pointer. A permission given by a View is never withdrawn, so a
// View that was loaded before the process was paused remains valid afterwards.
type View struct {
	self         identity.Incarnation
	versions     []Version
	memberHashes [][]uint64 // rendezvous hashes of the members, parallel to versions
	horizonMs    int64      // members of the last version may start births below it
	isFenced     bool
}

// Last returns the newest version. ok is false if no version is known.
func (v *View) Last() (last Version, ok bool) {
	if len(v.versions) == 0 {
		return Version{}, false
	}
	return v.versions[len(v.versions)-1], true
}

// Versions returns the known versions, oldest first. The caller must not modify them.
func (v *View) Versions() []Version { return v.versions }

// HorizonMs returns the birth, in Unix milliseconds, below which members of the last
// version may start.
func (v *View) HorizonMs() int64 { return v.horizonMs }

// Fenced reports whether a roster declared this entry gone, or may have done so in a
// version that it missed. A fenced entry starts nothing more, and its process must
// restart under a new incarnation.
func (v *View) Fenced() bool { return v.isFenced }

// IsMember reports whether this entry belongs to the last version.
func (v *View) IsMember() bool {
	last, ok := v.Last()
	return ok && last.Has(v.self)
}

// Owner returns the only entry that may ever start key for member, and the roster
// version that determines it (0 for a ticket). ok is false if no known version covers
// the birth, or if the version that covers it has no members. Near the end of the
// last version, a later version may change the answer; the answer of MayStart does
// not change.
func (v *View) Owner(member string, key identity.Key) (owner identity.Incarnation, version int64, ok bool) {
	if key.Home != "" {
		return key.Home, 0, true
	}
	i := v.versionIndex(key.BirthMs)
	if i < 0 || len(v.versions[i].Members) == 0 {
		return "", 0, false
	}
	return v.owner(i, member, key), v.versions[i].Version, true
}

// FinalOwner returns the owner if no later roster can change it: for a ticket, in a
// closed version, and for this entry's own births below the horizon.
//
// Near the end of the last version, a roster that begins below the birth may declare
// the key's owner gone and assign the key to another entry. A caller that took the
// first owner as final would prove "not run" about a key that the second owner
// starts.
func (v *View) FinalOwner(member string, key identity.Key) (owner identity.Incarnation, ok bool) {
	owner, version, ok := v.Owner(member, key)
	if !ok || key.Home != "" {
		return owner, ok
	}
	last, _ := v.Last()
	return owner, version < last.Version || owner == v.self && key.BirthMs < v.horizonMs
}

// versionIndex returns the index of the version that covers birthMs, or -1.
func (v *View) versionIndex(birthMs int64) int {
	for i := len(v.versions) - 1; i >= 0; i-- {
		if v.versions[i].FromMs <= birthMs {
			return i
		}
	}
	return -1
}

// owner selects a member of version i by rendezvous hashing.
func (v *View) owner(i int, member string, key identity.Key) identity.Incarnation {
	h := keyHash(member, key)
	best, bestScore := 0, uint64(0)
	for j, memberHash := range v.memberHashes[i] {
		if score := rendezvous.Weight(h, memberHash); j == 0 || score > bestScore {
			best, bestScore = j, score
		}
	}
	return v.versions[i].Members[best].Incarnation
}

// MayStart returns nil if this entry may start key for member. That permission is
// permanent. The refusals are truthful as well: MayStart itself starts nothing.
//
// Two entries that both considered themselves owner of a birth would run a task
// twice, and for example send two escorts for one passenger. In a closed version the
// history fixes the owner. In the last version a successor may still begin, but not
// below the least promise of the members (see Machine).
func (v *View) MayStart(member string, key identity.Key) *errkind.Error {
	switch {
	case v.isFenced:
		return errkind.New(errkind.Fenced, "%s was declared gone", v.self)
	case key.Home != "":
		return v.mayStartTicket(key)
	case len(v.versions) == 0:
		return errkind.New(errkind.HomeUnreachable, "no roster is known yet").WithAfter(retryAfter)
	}
	i := v.versionIndex(key.BirthMs)
	switch {
	case i < 0:
		return errkind.New(errkind.IdentityExpired, "born before the oldest roster that is kept")
	case len(v.versions[i].Members) == 0:
		return v.refuseWithoutMembers(i)
	}
	if owner := v.owner(i, member, key); owner != v.self {
		return errkind.New(errkind.HomeUnreachable, "owned by %s", owner).WithAfter(retryAfter)
	}
	if i == len(v.versions)-1 && key.BirthMs >= v.horizonMs {
		return errkind.New(errkind.HomeUnreachable, "born beyond what all entries of the roster have promised").
			WithAfter(v.estimatedWait(key.BirthMs))
	}
	return nil
}

// mayStartTicket permits a ticket only at the entry that it names as its home.
func (v *View) mayStartTicket(key identity.Key) *errkind.Error {
	if key.Home == v.self {
		return nil
	}
	return errkind.New(errkind.HomeUnreachable, "owned by %s", key.Home).WithAfter(retryAfter)
}

// refuseWithoutMembers returns the error for a birth in version i, which has no
// members. In a closed version no entry may ever start it; the last version may still
// get a successor.
func (v *View) refuseWithoutMembers(i int) *errkind.Error {
	if i < len(v.versions)-1 {
		return errkind.New(errkind.NotRun, "born while no entry was in service")
	}
	return errkind.New(errkind.HomeUnreachable, "no entry is in the roster").WithAfter(retryAfter)
}

// estimatedWait estimates how long it takes until the horizon, which advances with
// the clock, passes birthMs.
func (v *View) estimatedWait(birthMs int64) time.Duration {
	aheadMs := birthMs - v.horizonMs
	if v.horizonMs <= 0 || aheadMs > maxEstimatedWait.Milliseconds() {
		return retryAfter
	}
	return max(time.Duration(aheadMs)*time.Millisecond, retryAfter)
}

// keyHash hashes an identity.
func keyHash(member string, key identity.Key) uint64 {
	const separator = "\xff" // between member and UUID
	return rendezvous.KeyHash(member, separator, string(key.UUID[:]))
}

// hashMembers returns one rendezvous hash per member of v.
func hashMembers(v Version) []uint64 {
	hashes := make([]uint64, len(v.Members))
	for i, m := range v.Members {
		hashes[i] = rendezvous.MemberHash(string(m.Incarnation))
	}
	return hashes
}
