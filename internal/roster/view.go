package roster

import (
	"math"
	"time"

	"wigeontray/internal/errkind"
	"wigeontray/internal/identity"
)

// View is an immutable picture of what one entry may start. The machine
// publishes a new one whenever something changes; requests read the latest
// through an atomic pointer. Every permission in a view is for good: a view
// read before a pause stays true after it.
type View struct {
	self         identity.Incarnation
	versions     []Version
	memberHashes [][]uint64 // rendezvous seeds of the members, by version
	horizonMs    int64      // births below it may start under the last version
	isFenced     bool
}

// Last gives the newest version; ok is false while none is known.
func (v *View) Last() (last Version, ok bool) {
	if len(v.versions) == 0 {
		return Version{}, false
	}
	return v.versions[len(v.versions)-1], true
}

// Versions gives the known versions, oldest first. They must not be changed.
func (v *View) Versions() []Version { return v.versions }

// HorizonMs is the birth below which members of the last version may start.
func (v *View) HorizonMs() int64 { return v.horizonMs }

// Fenced tells that a roster declared this entry gone: it may start nothing
// more, and its process must go on under a new incarnation.
func (v *View) Fenced() bool { return v.isFenced }

// IsMember tells whether this entry belongs to the last version.
func (v *View) IsMember() bool {
	last, ok := v.Last()
	return ok && last.Has(v.self)
}

// Owner finds the only entry that may ever start key for member, and the roster
// version that says so (0 for a ticket). ok is false when no version that is
// known here covers the birth, or the one that does has no members. Near the end
// of the last version the answer may change with a later one; MayStart does not.
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

// FinalOwner is Owner where no later roster can change the answer: for a ticket,
// in a closed version, and for this entry's own births below the horizon.
//
// Near the end of the last version a key's owner may be declared gone by a
// roster that begins below the birth and gives it to somebody else. Whoever took
// the first owner for final would prove "not run" about a key that the second
// one starts.
func (v *View) FinalOwner(member string, key identity.Key) (owner identity.Incarnation, ok bool) {
	owner, version, ok := v.Owner(member, key)
	if !ok || key.Home != "" {
		return owner, ok
	}
	last, _ := v.Last()
	return owner, version < last.Version || owner == v.self && key.BirthMs < v.horizonMs
}

// versionIndex gives the index of the version whose interval holds birthMs, or -1.
func (v *View) versionIndex(birthMs int64) int {
	for i := len(v.versions) - 1; i >= 0; i-- {
		if v.versions[i].FromMs <= birthMs {
			return i
		}
	}
	return -1
}

// owner ranks the members of version i by rendezvous hashing.
func (v *View) owner(i int, member string, key identity.Key) identity.Incarnation {
	h := keyHash(member, key)
	best, bestScore := 0, uint64(0)
	for j, memberHash := range v.memberHashes[i] {
		if score := splitMix64(h ^ memberHash); j == 0 || score > bestScore {
			best, bestScore = j, score
		}
	}
	return v.versions[i].Members[best].Incarnation
}

// MayStart tells whether this entry may start key for member: nil when it may,
// for good. The refusals are true: nothing was started by asking.
//
// Two entries that both think they own a birth would run a task twice; the user
// would see two escorts for one passenger. Within a closed interval the owner is
// fixed by the history. In the last, open one a later version may still begin,
// but not below the least promise of the members (see Machine).
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

func (v *View) mayStartTicket(key identity.Key) *errkind.Error {
	if key.Home == v.self {
		return nil
	}
	return errkind.New(errkind.HomeUnreachable, "owned by %s", key.Home).WithAfter(retryAfter)
}

// refuseWithoutMembers refuses a birth in a version without members. A closed one says for
// good that nobody may start it; the last one may yet be followed.
func (v *View) refuseWithoutMembers(i int) *errkind.Error {
	if i < len(v.versions)-1 {
		return errkind.New(errkind.NotRun, "born while no entry was in service")
	}
	return errkind.New(errkind.HomeUnreachable, "no entry is in the roster").WithAfter(retryAfter)
}

// estimatedWait estimates when the horizon will have passed birthMs, as it moves with
// the clock.
func (v *View) estimatedWait(birthMs int64) time.Duration {
	aheadMs := birthMs - v.horizonMs
	if v.horizonMs <= 0 || aheadMs > maxEstimatedWait.Milliseconds() {
		return retryAfter
	}
	return max(time.Duration(aheadMs)*time.Millisecond, retryAfter)
}

// FNV-1a parameters for 64 bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// keyHash must give the same number in every process and every version of the
// software: two entries that hash differently would both own a key.
func keyHash(member string, key identity.Key) uint64 {
	h := fnvString(fnvOffset, member)
	h = (h ^ math.MaxUint8) * fnvPrime // separator
	for _, b := range key.UUID {
		h = (h ^ uint64(b)) * fnvPrime
	}
	return h
}

func fnvString(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// splitMix64 is the finalizer of SplitMix64; it spreads nearby hashes apart.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hashMembers(v Version) []uint64 {
	hashes := make([]uint64, len(v.Members))
	for i, m := range v.Members {
		hashes[i] = splitMix64(fnvString(fnvOffset, string(m.Incarnation)))
	}
	return hashes
}
