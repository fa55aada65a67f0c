// Package identity tells operators and tenants by tokens and certificates.
package identity

import (
	"crypto/subtle"
	"encoding/binary"
	"sync/atomic"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// Tokens finds who bears a token. The digests of a configuration are parsed
// once for each version, so that a request costs one digest and one look-up. It
// is safe for concurrent use and keeps no token.
type Tokens[ID ~string] struct {
	// digests lists the digests of each name in a configuration.
	digests func(configuration.Configuration) map[ID][]string
	// current is replaced as a whole when the version changes.
	current atomic.Pointer[index[ID]]
}

// NewTokens returns a finder over the digests that the function lists.
func NewTokens[ID ~string](digests func(configuration.Configuration) map[ID][]string) *Tokens[ID] {
	return &Tokens[ID]{digests: digests}
}

// Find returns who bears the token under the configuration. A token shorter
// than configuration.MinTokenBytes is nobody's.
func (t *Tokens[ID]) Find(cfg configuration.Configuration, token []byte) (ID, bool) {
	if len(token) < configuration.MinTokenBytes {
		return "", false
	}
	x := t.current.Load()
	if x == nil || x.version != cfg.Version {
		x = newIndex(cfg.Version, t.digests(cfg))
		t.current.Store(x)
	}
	return x.find(configuration.DigestToken(token))
}

// bearer is one digest and whose it is.
type bearer[ID ~string] struct {
	digest configuration.TokenDigest
	id     ID
}

// index holds the digests of one version, by their first bytes.
type index[ID ~string] struct {
	version configuration.Version
	bearers map[uint64][]bearer[ID]
}

func newIndex[ID ~string](v configuration.Version, digests map[ID][]string) *index[ID] {
	x := &index[ID]{version: v, bearers: make(map[uint64][]bearer[ID])}
	for id, texts := range digests {
		for _, text := range texts {
			d, err := configuration.ParseTokenDigest(text)
			if err != nil {
				continue
			}
			x.bearers[prefix(d)] = append(x.bearers[prefix(d)], bearer[ID]{digest: d, id: id})
		}
	}
	return x
}

// find compares whole digests in constant time. The look-up by prefix depends
// on the digest of what was sent alone, which its sender knows.
func (x *index[ID]) find(d configuration.TokenDigest) (ID, bool) {
	var found ID
	ok := false
	for _, b := range x.bearers[prefix(d)] {
		if subtle.ConstantTimeCompare(b.digest[:], d[:]) == 1 {
			found, ok = b.id, true
		}
	}
	return found, ok
}

func prefix(d configuration.TokenDigest) uint64 {
	return binary.BigEndian.Uint64(d[:])
}
