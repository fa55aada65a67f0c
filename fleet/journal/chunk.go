package journal

import (
	"bytes"
	"crypto/sha256"

	"github.com/rotisserie/eris"
)

// Limits of chunks.
const (
	// ChunkBytes is the maximum size of the data of one chunk. Each chunk is one append.
	ChunkBytes = 256 << 10
	// MaxChunks limits the number of chunks of a snapshot.
	MaxChunks = MaxSnapshotBytes / ChunkBytes
)

// KindSnapshotChunk is the kind of records whose body is a Chunk.
const KindSnapshotChunk Kind = "Snapshot.Chunk"

// StreamSnapshots returns the stream that stores the snapshots of a stream.
func StreamSnapshots(of StreamID) StreamID {
	return "Snapshots." + of
}

// SnapshotID is unique to one write of a snapshot, so that the chunks of concurrent
// writers never mix.
type SnapshotID string

// Chunk is a part of a packed snapshot. All fields but Index and Data are equal in all
// chunks of a snapshot.
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

// Split packs a snapshot and splits it into chunks.
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

// sameSnapshot reports whether both chunks belong to the same packed snapshot.
func (c Chunk) sameSnapshot(o Chunk) bool {
	return c.Snapshot == o.Snapshot && c.Stream == o.Stream && c.Next == o.Next && c.Digest == o.Digest &&
		c.Count == o.Count && bytes.Equal(c.Sum, o.Sum)
}

// assembly holds the chunks of a snapshot that have arrived.
type assembly struct {
	header Chunk
	parts  map[int][]byte
	// inconsistent is set once a chunk has contradicted the others.
	inconsistent bool
}

// Assembler assembles snapshots from chunks that arrive in any order, possibly repeatedly.
type Assembler struct {
	stream     StreamID
	assemblies map[SnapshotID]*assembly
}

// NewAssembler returns an assembler for the snapshots of a stream.
func NewAssembler(stream StreamID) *Assembler {
	return &Assembler{stream: stream, assemblies: make(map[SnapshotID]*assembly)}
}

// Add adds a chunk. It returns an error for a chunk out of range. It also returns an error
// for a chunk that contradicts others of its snapshot, and the snapshot becomes unusable.
func (a *Assembler) Add(c Chunk) error {
	if c.Stream != a.stream || c.Count < 1 || c.Count > MaxChunks || c.Index < 0 || c.Index >= c.Count || len(c.Data) > ChunkBytes {
		return eris.Wrapf(ErrInvalidSnapshot, "chunk %d of %d of stream %s", c.Index, c.Count, c.Stream)
	}
	s, ok := a.assemblies[c.Snapshot]
	if !ok {
		s = &assembly{header: c, parts: make(map[int][]byte, c.Count)}
		a.assemblies[c.Snapshot] = s
	}
	if old, twice := s.parts[c.Index]; !s.header.sameSnapshot(c) || (twice && !bytes.Equal(old, c.Data)) {
		s.inconsistent = true
		return eris.Wrapf(ErrInvalidSnapshot, "chunk %d does not belong to the others of %s", c.Index, c.Snapshot)
	}
	s.parts[c.Index] = c.Data
	return nil
}

// Newest returns the complete snapshot with the highest offset. It skips incomplete,
// inconsistent and corrupt ones.
func (a *Assembler) Newest() (Snapshot, bool) {
	var newest Snapshot
	found := false
	for _, s := range a.assemblies {
		if found && s.header.Next <= newest.Next {
			continue
		}
		if whole, err := s.assemble(); err == nil {
			newest, found = whole, true
		}
	}
	return newest, found
}

func (s *assembly) assemble() (Snapshot, error) {
	if s.inconsistent || len(s.parts) != s.header.Count {
		return Snapshot{}, eris.Wrapf(ErrInvalidSnapshot, "%s has %d of %d chunks", s.header.Snapshot, len(s.parts), s.header.Count)
	}
	var packed []byte
	for i := range s.header.Count {
		packed = append(packed, s.parts[i]...)
	}
	if sum := sha256.Sum256(packed); !bytes.Equal(sum[:], s.header.Sum) {
		return Snapshot{}, eris.Wrapf(ErrInvalidSnapshot, "%s has another digest", s.header.Snapshot)
	}
	whole, err := Unpack(packed)
	if err != nil {
		return Snapshot{}, err
	}
	if whole.Stream != s.header.Stream || whole.Next != s.header.Next || whole.Digest != s.header.Digest {
		return Snapshot{}, eris.Wrapf(ErrInvalidSnapshot, "%s is not what its chunks say", s.header.Snapshot)
	}
	return whole, nil
}
