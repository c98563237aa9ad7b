package link

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setAckTimeout makes a connection fail whose sent bytes are not acknowledged within
// ackTimeout. It is the Control function of a net.Dialer.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
