package listener

import "golang.org/x/sys/unix"

const (
	// tcpFlags is the offset of the flags in a TCP header, in bytes.
	tcpFlags = 13
	// tcpSYN is the flag of a segment that starts a connection.
	tcpSYN = 0x02
	// wholeSegment lets a segment of any length pass.
	wholeSegment = 0xffffffff
)

// dropNewConnections has the system drop segments that start a connection at the
// listening socket. Callers send them again after a second, and are refused then
// if the socket has been closed.
func dropNewConnections(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlags},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: wholeSegment},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
