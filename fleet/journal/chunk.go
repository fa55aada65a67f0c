package journal

import (
	"bytes"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// Sizes of chunks.
const (
	// ChunkBytes is the packed content of one chunk. A chunk is one append.
	ChunkBytes = 256 << 10
	// MaxChunks bounds the chunks of one snapshot.
	MaxChunks = MaxSnapshotBytes / ChunkBytes
)

// KindSnapshotChunk is the kind of records whose body is a Chunk.
const KindSnapshotChunk Kind = "Snapshot.Chunk"

// StreamSnapshots returns the stream that keeps the snapshots of a stream.
func StreamSnapshots(of StreamID) StreamID {
	return "Snapshots." + of
}

// SnapshotID is unique to one writing of a snapshot, so that the chunks of two
// writers at once never mix.
type SnapshotID string

// Chunk is a part of a packed snapshot. All fields but Index and Data are equal
// in all chunks of a snapshot.
type Chunk struct {
	Snapshot SnapshotID
	Stream   StreamID
	Next     Offset
	Digest   uint64
	// Sum is the SHA-256 digest of the whole packed snapshot.
	Sum   []byte
	Count int
	Index int
	Data  []byte
}

// Split packs a snapshot into chunks.
func Split(s Snapshot, id SnapshotID) ([]Chunk, error) {
	packed, err := s.Pack()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(packed)
	count := (len(packed) + ChunkBytes - 1) / ChunkBytes
	if count > MaxChunks {
		return nil, eris.Wrapf(ErrTooLarge, "%d chunks are more than %d", count, MaxChunks)
	}
	chunks := make([]Chunk, count)
	for i := range chunks {
		chunks[i] = Chunk{
			Snapshot: id, Stream: s.Stream, Next: s.Next, Digest: s.Digest, Sum: sum[:], Count: count, Index: i,
			Data: packed[i*ChunkBytes : min((i+1)*ChunkBytes, len(packed))],
		}
	}
	return chunks, nil
}

// sameSnapshot reports whether both are parts of one packed snapshot.
func (c Chunk) sameSnapshot(o Chunk) bool {
	return c.Snapshot == o.Snapshot && c.Stream == o.Stream && c.Next == o.Next && c.Digest == o.Digest &&
		c.Count == o.Count && bytes.Equal(c.Sum, o.Sum)
}

// assembly is a snapshot of which some chunks have arrived.
type assembly struct {
	head  Chunk
	parts map[int][]byte
	// mixed is set once a chunk contradicted the others.
	mixed bool
}

// Assembler puts chunks together that arrive in any order, also twice.
type Assembler struct {
	stream StreamID
	by     map[SnapshotID]*assembly
}

// NewAssembler returns an assembler of snapshots of a stream.
func NewAssembler(stream StreamID) *Assembler {
	return &Assembler{stream: stream, by: make(map[SnapshotID]*assembly)}
}

// Add takes a chunk. A chunk out of range is refused; one that contradicts the
// others of its snapshot spoils the snapshot.
func (a *Assembler) Add(c Chunk) error {
	if c.Stream != a.stream || c.Count < 1 || c.Count > MaxChunks || c.Index < 0 || c.Index >= c.Count || len(c.Data) > ChunkBytes {
		return eris.Wrapf(ErrSnapshot, "chunk %d of %d of stream %s", c.Index, c.Count, c.Stream)
	}
	s, ok := a.by[c.Snapshot]
	if !ok {
		s = &assembly{head: c, parts: make(map[int][]byte, c.Count)}
		a.by[c.Snapshot] = s
	}
	if old, twice := s.parts[c.Index]; !s.head.sameSnapshot(c) || (twice && !bytes.Equal(old, c.Data)) {
		s.mixed = true
		return eris.Wrapf(ErrSnapshot, "chunk %d does not belong to the others of %s", c.Index, c.Snapshot)
	}
	s.parts[c.Index] = c.Data
	return nil
}

// Newest returns the whole snapshot with the highest offset, passing over torn,
// mixed and wrong ones.
func (a *Assembler) Newest() (Snapshot, bool) {
	var newest Snapshot
	found := false
	for _, s := range a.by {
		if found && s.head.Next <= newest.Next {
			continue
		}
		if whole, err := s.assemble(); err == nil {
			newest, found = whole, true
		}
	}
	return newest, found
}

func (s *assembly) assemble() (Snapshot, error) {
	if s.mixed || len(s.parts) != s.head.Count {
		return Snapshot{}, eris.Wrapf(ErrSnapshot, "%s has %d of %d chunks", s.head.Snapshot, len(s.parts), s.head.Count)
	}
	var packed []byte
	for i := range s.head.Count {
		packed = append(packed, s.parts[i]...)
	}
	if sum := sha256.Sum256(packed); !bytes.Equal(sum[:], s.head.Sum) {
		return Snapshot{}, eris.Wrapf(ErrSnapshot, "%s has another digest", s.head.Snapshot)
	}
	whole, err := Unpack(packed)
	if err != nil {
		return Snapshot{}, err
	}
	if whole.Stream != s.head.Stream || whole.Next != s.head.Next || whole.Digest != s.head.Digest {
		return Snapshot{}, eris.Wrapf(ErrSnapshot, "%s is not what its chunks say", s.head.Snapshot)
	}
	return whole, nil
}
