package estate

import (
	"net"
	"syscall"

	"github.com/rotisserie/eris"
)

// reserveAddress keeps others from taking the address of a worker that is down, as the source port of a connection does.
// Connections to it are refused. The worker may listen there again before release is called.
func reserveAddress(address string) (release func(), err error) {
	a, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, eris.Wrap(err, "reserve an address")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, eris.Wrap(err, "reserve an address")
	}
	release = func() { _ = syscall.Close(fd) }
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		release()
		return nil, eris.Wrap(err, "reserve an address")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: a.Port, Addr: [4]byte(a.IP.To4())}); err != nil {
		release()
		return nil, eris.Wrapf(err, "reserve %s", address)
	}
	return release, nil
}
