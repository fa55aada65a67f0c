package inventory

// Slots counts requests that a backend server executes at once.
type Slots int

// Connections counts open connections to a backend server.
type Connections int

// Cores counts processor cores in thousandths, so that shares stay integers.
type Cores int64

// CoresPerUnit is the number of thousandths in one whole core.
const CoresPerUnit Cores = 1000

// Bytes counts memory.
type Bytes int64

// Sizes of memory.
const (
	Kibibyte Bytes = 1 << 10
	Mebibyte Bytes = 1 << 20
	Gibibyte Bytes = 1 << 30
)

// Accelerators counts whole accelerators.
type Accelerators int

// PartsPerMillion is a share of a whole, where 1,000,000 is all of it.
type PartsPerMillion int64

// Whole is the share that is all of something.
const Whole PartsPerMillion = 1_000_000

// Of returns the share of n, rounded down.
func (p PartsPerMillion) Of(n int64) int64 {
	return n/int64(Whole)*int64(p) + n%int64(Whole)*int64(p)/int64(Whole)
}

// Size is an amount of each resource that a worker has and a job needs.
type Size struct {
	// Cores is in thousandths of a core and never negative.
	Cores Cores
	// Memory is in bytes and never negative.
	Memory Bytes
	// Accelerators is a whole number and never negative.
	Accelerators Accelerators
}

// Fits reports whether an amount of the size s can be taken from free.
func (s Size) Fits(free Size) bool {
	return s.Cores <= free.Cores && s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Sub returns what is left of s without o.
func (s Size) Sub(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}
