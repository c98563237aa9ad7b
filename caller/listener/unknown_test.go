package listener

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"

	"berylpass/caller/memory"
	"berylpass/caller/memory/holder"
)

// TestChunkedBodyFitsAnIdleDaemon sends one body within the limit to a daemon with the memory of the smallest VMs that has
// nothing else to do, with a Content-Length and in chunks.
func TestChunkedBodyFitsAnIdleDaemon(t *testing.T) {
	const size = 40 << 20
	l := start(t, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}, WithMaxBody(64<<20), WithMemory(holder.NewBook(memory.Divide(184<<20))))
	whole := make([]byte, size)
	for _, framing := range []struct{ head, end string }{
		{fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""},
		{fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"},
	} {
		conn := dial(t, l)
		go func() {
			io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+framing.head)
			conn.Write(whole)
			io.WriteString(conn, framing.end)
		}()
		if response, body := readResponse(t, bufio.NewReader(conn), "POST"); response.StatusCode != http.StatusOK || body != fmt.Sprint(size) {
			t.Errorf("%q: status %d, %q", framing.head, response.StatusCode, body)
		}
		conn.Close()
		awaitNoReservations(t, l)
	}
}
