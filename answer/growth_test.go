package answer

import (
	"bufio"
	"errors"
	"strings"
	"testing"
)

// TestMemoryIsReservedFirst checks for each framing that at least the body's length is reserved, that bytes which
// are only announced aren't, and that an answer whose memory is refused isn't read.
func TestMemoryIsReservedFirst(t *testing.T) {
	const size = 100_000
	errFull := errors.New("full")
	text := strings.Repeat("x", size)
	for name, raw := range map[string]string{
		"length": "Content-Length: 100000\r\n\r\n" + text,
		"chunks": "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + text + "\r\n0\r\n\r\n",
		"close":  "\r\n" + text,
	} {
		for _, limit := range []int64{1 << 20, 10} {
			in := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + raw))
			head, err := ReadHead(in, 1<<10)
			if err != nil {
				t.Fatal(err)
			}
			var reserved int64
			body, err := head.WithReserve(func(n int64) error {
				if n > limit {
					return errFull
				}
				reserved += n
				return nil
			}).ReadBody(in, "GET", 1<<20)
			if limit < size && !errors.Is(err, errFull) || limit > size && (err != nil || string(body) != text || reserved < size) {
				t.Errorf("%s, limit %d: got %d bytes, %v, %d reserved", name, limit, len(body), err, reserved)
			}
		}
	}
	in := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\nx"))
	head, err := ReadHead(in, 1<<10)
	if err != nil {
		t.Fatal(err)
	}
	var reserved int64
	if _, err := head.WithReserve(func(n int64) error { reserved += n; return nil }).ReadBody(in, "GET", 1<<20); err == nil || reserved > growthPiece {
		t.Errorf("%d bytes are reserved for a chunk that never came, %v", reserved, err)
	}
}
