// Package claim decides which entry host may execute a request with an idempotency key.
// The order of the platform's log decides between concurrent claims; hosts apply it.
package claim

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/inventory"
)

// MaxKeyBytes is the longest idempotency key.
const MaxKeyBytes = 256

// Errors of keys and digests.
var (
	// ErrInvalidKey is returned for a key that is empty, too long or not printable.
	ErrInvalidKey = eris.New("invalid idempotency key")
	// ErrInvalidDigest is returned for text that does not encode a digest.
	ErrInvalidDigest = eris.New("invalid digest of an idempotency key")
)

const digestBytes = 16

// Digest identifies a key together with its tenant and service, so that keys of
// different tenants cannot collide.
type Digest [digestBytes]byte

// NewDigest returns the digest of a key of a tenant and a service.
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

// MarshalText encodes the digest in base64 (URL alphabet, no padding).
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes the text of MarshalText.
func (d *Digest) UnmarshalText(b []byte) error {
	raw, err := base64.RawURLEncoding.AppendDecode(nil, b)
	if err != nil || len(raw) != digestBytes {
		return eris.Wrapf(ErrInvalidDigest, "%q", b)
	}
	copy(d[:], raw)
	return nil
}
