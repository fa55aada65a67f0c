package retry

import (
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// idempotentMethods are those of RFC 9110, section 9.2.2.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// IsIdempotent reports whether the service's method may be executed more than once.
func IsIdempotent(s configuration.Service, method string) bool {
	if slices.Contains(s.NonRepeatableMethods, method) {
		return false
	}
	return slices.Contains(s.RepeatableMethods, method) || slices.Contains(idempotentMethods, method)
}
