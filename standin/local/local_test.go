package local

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Two entry hosts must not get the same port: the second one could not start.
func TestFreeAddressesAreDistinct(t *testing.T) {
	const addresses = 2000
	seen := make(map[string]bool)
	for range addresses {
		a, err := FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[a], a)
		seen[a] = true
	}
}
