// Package rendezvous computes the weights of rendezvous hashing: of a list of members, the one
// with the greatest weight for a key owns the key. The results must be the same in every process and
// every release: two processes with different weights would both own the same key.
//
// The package imports no other package of the project.
package rendezvous

// Parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// KeyHash returns the hash of a key that consists of the given parts, in order. The parts are not
// separated.
func KeyHash(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, s := range parts {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * fnvPrime
		}
	}
	return h
}

// MemberHash returns the hash of a member, from which Weight is computed. It is worth keeping where
// many keys are ranked.
func MemberHash(name string) uint64 { return splitMix64(KeyHash(name)) }

// Weight returns the weight of a member for a key, given the hashes of both.
func Weight(keyHash, memberHash uint64) uint64 { return splitMix64(keyHash ^ memberHash) }

// splitMix64 is the finalizer of the SplitMix64 generator. It spreads similar hashes
// over the whole range.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
