package configuration

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/godwitcross/godwitcross/fleet/inventory"
	"github.com/rotisserie/eris"
)

// MinTokenBytes is the minimum length of a token. The digests are visible to both
// owners, so a token must be long enough not to be recovered from its digest.
const MinTokenBytes = 32

// ErrDigest is returned for an invalid token digest.
var ErrDigest = eris.New("not a usable token digest")

// TokenDigest is the SHA-256 digest of a token.
type TokenDigest [sha256.Size]byte

// DigestToken returns the digest of a token.
func DigestToken(token []byte) TokenDigest {
	return sha256.Sum256(token)
}

// ParseTokenDigest parses a hexadecimal digest.
func ParseTokenDigest(text string) (TokenDigest, error) {
	var d TokenDigest
	if len(text) != hex.EncodedLen(len(d)) {
		return d, eris.Wrapf(ErrDigest, "%d characters are not %d", len(text), hex.EncodedLen(len(d)))
	}
	if _, err := hex.Decode(d[:], []byte(text)); err != nil {
		return d, eris.Wrap(ErrDigest, "not hexadecimal")
	}
	return d, nil
}

// String returns the digest in hexadecimal.
func (d TokenDigest) String() string {
	return hex.EncodeToString(d[:])
}

// validateTokens checks all digests. A digest may occur only once, since a
// duplicate would not identify the caller.
func (o Objects) validateTokens() error {
	seen := make(map[TokenDigest]bool)
	check := func(digests []string) error {
		for i, text := range digests {
			d, err := ParseTokenDigest(text)
			if err != nil {
				return eris.Wrapf(err, "TokenDigests %d", i)
			}
			if seen[d] {
				return eris.Wrapf(ErrDigest, "TokenDigests %d stands twice", i)
			}
			seen[d] = true
		}
		return nil
	}
	return firstError(
		validateEach(KindOperator, o.Operators, func(_ inventory.OperatorID, p Operator) error { return check(p.TokenDigests) }),
		validateEach(KindTenant, o.Tenants, func(_ inventory.TenantID, t Tenant) error { return check(t.TokenDigests) }),
	)
}
