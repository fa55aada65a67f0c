package network

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEchoServer starts a server that sends each byte back, and returns its address.
func startEchoServer(t *testing.T) string {
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

// How long a test waits for an answer that it expects, and for one that must not come.
const (
	answerTimeout  = 10 * time.Second
	silenceTimeout = 50 * time.Millisecond
)

// exchangeByte sends a byte and reads the answer, both within the timeout.
func exchangeByte(c net.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

func TestCutRefusesNewConnectionsAndSilencesOpenOnes(t *testing.T) {
	address := startEchoServer(t)
	n := New()
	n.Place(address, "Platform")
	dial := n.Dialer("Palermo")
	c, err := dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, exchangeByte(c, answerTimeout))
	n.Cut("Palermo", "Platform")
	require.ErrorIs(t, exchangeByte(c, silenceTimeout), os.ErrDeadlineExceeded, "bytes are lost without an error")
	_, err = dial(context.Background(), address)
	require.ErrorIs(t, err, ErrCut)
	n.Heal("Palermo", "Platform")
	require.Error(t, exchangeByte(c, silenceTimeout), "a silent connection stays silent")
	c, err = dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, exchangeByte(c, answerTimeout))
}

func TestSilenceLeavesNewConnectionsAlone(t *testing.T) {
	address := startEchoServer(t)
	n := New()
	dial := n.Dialer("Palermo")
	old, err := dial(context.Background(), address)
	require.NoError(t, err)
	n.Silence(address)
	require.Error(t, exchangeByte(old, silenceTimeout))
	fresh, err := dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, exchangeByte(fresh, answerTimeout))
}
