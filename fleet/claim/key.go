// Package claim decides who may execute a request under an idempotency key. The
// order of the platform's log decides between claims; hosts only follow it.
package claim

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 256

// Errors of keys.
var (
	// ErrInvalidKey is returned for a key that is empty, too long or not printable.
	ErrInvalidKey = eris.New("bad idempotency key")
	// ErrInvalidDigest is returned for text that is not a digest.
	ErrInvalidDigest = eris.New("bad digest of a key")
)

// digestBytes is the length of a digest.
const digestBytes = 16

// Digest identifies a key together with its tenant and service, so that no
// tenant can meet another's keys.
type Digest [digestBytes]byte

// NewDigest returns the digest of a key within a tenant and a service.
func NewDigest(tenant inventory.TenantID, service inventory.ServiceID, key string) (Digest, error) {
	var d Digest
	if err := CheckKey(key); err != nil {
		return d, err
	}
	sum := sha256.Sum256([]byte(string(tenant) + "\x00" + string(service) + "\x00" + key))
	copy(d[:], sum[:])
	return d, nil
}

// CheckKey returns ErrKey unless the key is 1 to MaxKeyBytes printable ASCII
// characters.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return eris.Wrapf(ErrInvalidKey, "%d bytes must be from 1 to %d", len(key), MaxKeyBytes)
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return eris.Wrapf(ErrInvalidKey, "byte %d is not printable", i)
		}
	}
	return nil
}

// MarshalText writes the digest in base64.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads a digest in base64.
func (d *Digest) UnmarshalText(b []byte) error {
	raw, err := base64.RawURLEncoding.AppendDecode(nil, b)
	if err != nil || len(raw) != digestBytes {
		return eris.Wrapf(ErrInvalidDigest, "%q", b)
	}
	copy(d[:], raw)
	return nil
}
