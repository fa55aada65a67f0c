// Package quote encodes strings as JSON without allocations for those that need no escaping.
package quote

import "encoding/json"

// AppendJSON appends a string to b, in the bytes of encoding/json.
func AppendJSON(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			encoded, err := json.Marshal(s)
			if err != nil {
				panic("quote: encoding a string failed: " + err.Error()) // no string has an error
			}
			return append(b, encoded...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
