package backend

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests that arrive when a partition ends although their sender was
// killed during it. The kernel closes the connections of a killed process, and this close
// must be a reset.
func TestCloseIsAReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := Dialer()(context.Background(), l.Addr().String())
	require.NoError(t, err)
	served, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = served.Close() }()
	require.NoError(t, c.Close())
	require.NoError(t, served.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadAll(served)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
