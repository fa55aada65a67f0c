package bill

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"github.com/godwitcross/godwitcross/fleet/journal"
)

// ErrDigest is returned for text that is not a digest.
var ErrDigest = eris.New("not a digest of 64 hexadecimal digits")

// maxRecentLinks is the number of links that are kept to check seals against.
const maxRecentLinks = 256

// Digest is the SHA-256 digest of a link of the chain. Its text form is hexadecimal.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes a digest from hexadecimal.
func (d *Digest) UnmarshalText(b []byte) error {
	v, err := hex.DecodeString(string(b))
	if err != nil || len(v) != len(d) {
		return eris.Wrapf(ErrDigest, "%q", b)
	}
	copy(d[:], v)
	return nil
}

// Link is the state of the chain after the record at an offset.
type Link struct {
	Offset journal.Offset
	Digest Digest
}

// next returns the link that follows l: a digest of l, the record's offset and the record.
func (l Link) next(e journal.Entry) (Link, error) {
	raw, err := e.Record.Encode()
	if err != nil {
		return l, err
	}
	h := sha256.New()
	h.Write(l.Digest[:])
	var offset [8]byte
	binary.BigEndian.PutUint64(offset[:], uint64(e.Offset))
	h.Write(offset[:])
	h.Write(raw)
	n := Link{Offset: e.Offset}
	h.Sum(n.Digest[:0])
	return n, nil
}
