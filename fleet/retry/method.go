package retry

import (
	"slices"

	"github.com/godwitcross/godwitcross/fleet/configuration"
)

// idempotentMethods holds the idempotent methods of RFC 9110, section 9.2.2.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// IsIdempotent reports whether a request with the method may be executed more than once
// by the service. The service's configuration takes precedence over RFC 9110.
func IsIdempotent(s configuration.Service, method string) bool {
	if slices.Contains(s.NonRepeatableMethods, method) {
		return false
	}
	return slices.Contains(s.RepeatableMethods, method) || slices.Contains(idempotentMethods, method)
}
