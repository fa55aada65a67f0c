package inventory

// Slots is a number of requests that a backend server executes concurrently.
type Slots int

// Connections is a number of open connections to a backend server.
type Connections int

// Millicores is an amount of processor cores in thousandths, so that fractions of a core
// are integers.
type Millicores int64

// MillicoresPerCore is one processor core in thousandths.
const MillicoresPerCore Millicores = 1000

// Bytes is an amount of memory in bytes.
type Bytes int64

// Units of memory.
const (
	Kibibyte Bytes = 1 << 10
	Mebibyte Bytes = 1 << 20
	Gibibyte Bytes = 1 << 30
)

// Accelerators is a number of whole accelerators.
type Accelerators int

// PartsPerMillion is a fraction in millionths: 1,000,000 is the whole.
type PartsPerMillion int64

// PartsPerWhole is the fraction 1.
const PartsPerWhole PartsPerMillion = 1_000_000

// Of returns the fraction p of n, rounded down. It multiplies the quotient and the
// remainder of n separately, so that the product doesn't overflow for a large n.
func (p PartsPerMillion) Of(n int64) int64 {
	return n/int64(PartsPerWhole)*int64(p) + n%int64(PartsPerWhole)*int64(p)/int64(PartsPerWhole)
}

// Size is an amount of each resource, such as a worker's capacity or a job's demand.
type Size struct {
	// Cores is in thousandths of a core and not negative.
	Cores Millicores
	// Memory is in bytes and not negative.
	Memory Bytes
	// Accelerators is a whole number and not negative.
	Accelerators Accelerators
}

// FitsIn reports whether free has enough of every resource for s.
func (s Size) FitsIn(free Size) bool {
	return s.Cores <= free.Cores && s.Memory <= free.Memory && s.Accelerators <= free.Accelerators
}

// Add returns the sum of both sizes.
func (s Size) Add(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

// Sub returns the difference of s and o.
func (s Size) Sub(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}
