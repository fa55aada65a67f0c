// Package identity authenticates operators and tenants by tokens and certificates.
package identity

import (
	"crypto/subtle"
	"encoding/binary"
	"sync/atomic"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// Tokens finds the name to which a token belongs. The digests of a configuration
// are parsed once for each version, so that a request costs one digest and one
// lookup. It is safe for concurrent use and stores no token.
type Tokens[ID ~string] struct {
	// digests returns the token digests of each name in a configuration.
	digests func(configuration.Configuration) map[ID][]string
	// current is the index of the version used last; it is replaced as a whole.
	current atomic.Pointer[digestIndex[ID]]
}

// NewTokens returns a lookup over the digests that the function returns.
func NewTokens[ID ~string](digests func(configuration.Configuration) map[ID][]string) *Tokens[ID] {
	return &Tokens[ID]{digests: digests}
}

// Find returns the name to which the token belongs in the configuration. A token
// shorter than configuration.MinTokenBytes matches no name.
func (t *Tokens[ID]) Find(cfg configuration.Configuration, token []byte) (ID, bool) {
	if len(token) < configuration.MinTokenBytes {
		return "", false
	}
	x := t.current.Load()
	if x == nil || x.version != cfg.Version {
		x = newDigestIndex(cfg.Version, t.digests(cfg))
		t.current.Store(x)
	}
	return x.find(configuration.DigestToken(token))
}

// digestEntry is a token digest and the name to which it belongs.
type digestEntry[ID ~string] struct {
	digest configuration.TokenDigest
	id     ID
}

// digestIndex holds the digests of one version by their first 8 bytes.
type digestIndex[ID ~string] struct {
	version configuration.Version
	entries map[uint64][]digestEntry[ID]
}

func newDigestIndex[ID ~string](v configuration.Version, digests map[ID][]string) *digestIndex[ID] {
	x := &digestIndex[ID]{version: v, entries: make(map[uint64][]digestEntry[ID])}
	for id, texts := range digests {
		for _, text := range texts {
			d, err := configuration.ParseTokenDigest(text)
			if err != nil {
				continue
			}
			x.entries[digestPrefix(d)] = append(x.entries[digestPrefix(d)], digestEntry[ID]{digest: d, id: id})
		}
	}
	return x
}

// find compares whole digests in constant time. The lookup by prefix depends
// only on the digest of the sent token, which its sender knows.
func (x *digestIndex[ID]) find(d configuration.TokenDigest) (ID, bool) {
	var found ID
	ok := false
	for _, b := range x.entries[digestPrefix(d)] {
		if subtle.ConstantTimeCompare(b.digest[:], d[:]) == 1 {
			found, ok = b.id, true
		}
	}
	return found, ok
}

func digestPrefix(d configuration.TokenDigest) uint64 {
	return binary.BigEndian.Uint64(d[:])
}
