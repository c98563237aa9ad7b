package listener

import "golang.org/x/sys/unix"

const (
	// tcpFlagsOffset is the offset of the flags byte in a TCP header.
	tcpFlagsOffset = 13
	// tcpSYN is the flag of a segment that opens a connection.
	tcpSYN = 0x02
	// acceptSegment is the result that accepts a segment of any length; 0 drops it.
	acceptSegment = 0xffffffff
)

// dropNewConnections attaches a filter to the listening socket that drops the segments
// that open a connection. Callers retransmit them after a second, and their connections
// are refused then if the socket has been closed.
func dropNewConnections(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
	}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
}
