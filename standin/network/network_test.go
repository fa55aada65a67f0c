package network

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echo answers each byte with itself.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					if _, err := c.Write(b); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// How long a test waits for an answer that comes, and for one that never does.
const (
	patient = 10 * time.Second
	short   = 50 * time.Millisecond
)

// ask sends a byte and waits for it at most as long as given.
func ask(c net.Conn, wait time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(wait)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestCutRefusesNewConnectionsAndSilencesOpenOnes(t *testing.T) {
	address := echo(t)
	n := New()
	n.Place(address, "Platform")
	dial := n.Dialer("Palermo")
	c, err := dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, ask(c, patient))
	n.Cut("Palermo", "Platform")
	require.ErrorIs(t, ask(c, short), os.ErrDeadlineExceeded, "bytes are lost without an error")
	_, err = dial(context.Background(), address)
	require.ErrorIs(t, err, ErrCut)
	n.Heal("Palermo", "Platform")
	require.Error(t, ask(c, short), "a silent connection stays silent")
	c, err = dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, ask(c, patient))
}

func TestSilenceLeavesNewConnectionsAlone(t *testing.T) {
	address := echo(t)
	n := New()
	dial := n.Dialer("Palermo")
	old, err := dial(context.Background(), address)
	require.NoError(t, err)
	n.Silence(address)
	require.Error(t, ask(old, short))
	fresh, err := dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, ask(fresh, patient))
}
