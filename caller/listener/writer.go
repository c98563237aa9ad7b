package listener

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxBuffered is how many bytes of a body are held back to learn its length.
const maxBuffered = 64 << 10

// framed are the headers that the writer sets itself.
var framed = map[string]bool{
	"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true, "Trailer": true,
}

// unknownLength is the length of a body that the handler has not told.
const unknownLength = -1

// writer is a http.ResponseWriter that frames the answer: by the Content-Length
// that the handler sets, by the length of a short body, or else in chunks.
type writer struct {
	conn   *conn
	header http.Header
	// headOnly is set for HEAD; modern for HTTP/1.1.
	headOnly, modern bool
	// close tells that the connection ends with this answer.
	close  bool
	status int
	// length is the body's length in bytes, or unknownLength.
	length int64
	// written counts the body's bytes that the handler has written.
	written  int64
	buffer   bytes.Buffer
	headSent bool
	chunked  bool
}

func newWriter(c *conn, method string, modern bool, header http.Header) *writer {
	return &writer{conn: c, header: header, headOnly: method == http.MethodHead, modern: modern, length: unknownLength}
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim statuses are dropped.
func (w *writer) WriteHeader(status int) {
	if w.status != 0 || status >= 100 && status < 200 {
		return
	}
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("status %d is not between 100 and 999", status))
	}
	w.status = status
	length, err := strconv.ParseUint(w.header.Get("Content-Length"), 10, 63)
	if err == nil {
		w.length = int64(length)
	}
}

// Write implements http.ResponseWriter. It waits while the caller is slow to read.
func (w *writer) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if !w.statusHasBody() {
		return 0, http.ErrBodyNotAllowed
	}
	w.written += int64(len(p))
	if w.length != unknownLength && w.written > w.length {
		w.written -= int64(len(p))
		return 0, http.ErrContentLength
	}
	if w.headOnly {
		return len(p), nil
	}
	w.append(p)
	if w.buffer.Len() < maxBuffered || !w.modern && w.length == unknownLength {
		return len(p), nil
	}
	if err := w.flush(); err != nil {
		return 0, err
	}
	return len(p), nil
}

// append adds a piece of the body to the buffer, framed if the head is out.
func (w *writer) append(p []byte) {
	if !w.chunked || len(p) == 0 {
		w.buffer.Write(p)
		return
	}
	fmt.Fprintf(&w.buffer, "%x\r\n", len(p))
	w.buffer.Write(p)
	w.buffer.WriteString("\r\n")
}

// flush sends the head, if it is still due, and the buffer.
func (w *writer) flush() error {
	if !w.headSent {
		body := bytes.Clone(w.buffer.Bytes())
		w.buffer.Reset()
		w.writeHead()
		w.append(body)
	}
	if err := w.conn.awaitRoom(); err != nil {
		return err
	}
	_, err := w.conn.Write(w.buffer.Bytes())
	w.buffer.Reset()
	return err
}

// writeHead puts the head into the empty buffer.
func (w *writer) writeHead() {
	w.headSent = true
	w.close = w.conn.isLast(w.close || hasClose(w.header))
	text := http.StatusText(w.status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(&w.buffer, "HTTP/1.1 %03d %s\r\n", w.status, text)
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_ = w.header.WriteSubset(&w.buffer, framed)
	switch {
	case w.length != unknownLength && w.status != http.StatusNoContent:
		fmt.Fprintf(&w.buffer, "Content-Length: %d\r\n", w.length)
	case w.hasBody():
		w.chunked = true
		w.buffer.WriteString("Transfer-Encoding: chunked\r\n")
	}
	switch {
	case w.close:
		w.buffer.WriteString("Connection: close\r\n")
	case !w.modern:
		w.buffer.WriteString("Connection: keep-alive\r\n")
	}
	w.buffer.WriteString("\r\n")
}

// end sends what is left. It cuts the connection if the body is shorter than promised.
func (w *writer) end() {
	w.WriteHeader(http.StatusOK)
	if w.hasBody() && w.length != unknownLength && w.written < w.length {
		w.conn.abort()
		return
	}
	if !w.headSent && w.hasBody() {
		w.length = w.written
	}
	if w.chunked {
		w.buffer.Write(lastChunk)
	}
	if err := w.flush(); err != nil {
		w.conn.abort()
		return
	}
	if w.close {
		w.conn.finish()
	}
}

// hasBody reports whether a body follows the head.
func (w *writer) hasBody() bool { return !w.headOnly && w.statusHasBody() }

func (w *writer) statusHasBody() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

func hasClose(h http.Header) bool { return h.Get("Connection") == "close" }
