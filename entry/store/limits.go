package store

// Limits are the store's limits of what it takes, in bytes.
type Limits struct {
	// RecordBytes bounds a record with its key, CallBytes the records of one append.
	RecordBytes, CallBytes int
}

// recordOverhead is what an append holds of a record besides its key and value: the lengths of both.
const recordOverhead = 5

// WithDefaults returns the limits with those of the platform's example settings in place of missing ones.
func (l Limits) WithDefaults() Limits {
	if l.RecordBytes <= 0 {
		l.RecordBytes = 256 << 10
	}
	if l.CallBytes <= 0 {
		l.CallBytes = 2 << 20
	}
	return l
}

// Size is what the record takes of an append.
func (r Record) Size() int {
	return len(r.Key) + len(r.Value) + recordOverhead
}

// Divide divides records into appends within the limit of a call, in their order.
func (l Limits) Divide(records []Record) [][]Record {
	var out [][]Record
	begin, size := 0, 0
	for i, r := range records {
		if size += r.Size(); size > l.CallBytes && i > begin {
			out = append(out, records[begin:i])
			begin, size = i, r.Size()
		}
	}
	if begin < len(records) {
		out = append(out, records[begin:])
	}
	return out
}
