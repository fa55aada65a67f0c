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

// recentLinks is how many digests of the chain are kept for seals.
const recentLinks = 256

// Digest is a link of the chain, written in hexadecimal.
type Digest [sha256.Size]byte

// String returns the text form.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText writes the text form.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads the text form.
func (d *Digest) UnmarshalText(b []byte) error {
	v, err := hex.DecodeString(string(b))
	if err != nil || len(v) != len(d) {
		return eris.Wrapf(ErrDigest, "%q", b)
	}
	copy(d[:], v)
	return nil
}

// Link is the chain after the record at an offset.
type Link struct {
	Offset journal.Offset
	Digest Digest
}

// next returns the link behind l for a record at its offset.
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
