package listener

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// maxBuffered is the number of body bytes that are buffered before they are sent. The
// length of a body that ends before is sent as Content-Length.
const maxBuffered = 64 << 10

// framingHeaders is the set of headers that the writer sets itself.
var framingHeaders = map[string]bool{
	"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true, "Trailer": true,
}

// unknownLength is the length of a body for which the handler has set no Content-Length.
const unknownLength = -1

// writer is an http.ResponseWriter that frames the response: with the Content-Length
// that the handler sets, with the length of a body that fits the buffer, or in chunks.
// A body for an HTTP/1.0 caller is buffered whole if its length isn't set.
type writer struct {
	conn *conn
	// turn tells when the response may be sent. Until then up to maxBuffered bytes are kept, and the handler waits.
	turn   turn
	header http.Header
	// headOnly is whether the request is a HEAD, http11 whether it came with HTTP/1.1.
	headOnly, http11 bool
	// closeAfter is whether the connection closes after this response.
	closeAfter bool
	status     int
	// length is the body's length in bytes, or unknownLength.
	length int64
	// written is the number of body bytes that the handler has written.
	written  int64
	buffer   bytes.Buffer
	headSent bool
	chunked  bool
}

func newWriter(c *conn, t turn, method string, http11 bool, header http.Header) *writer {
	return &writer{conn: c, turn: t, header: header, headOnly: method == http.MethodHead, http11: http11, length: unknownLength}
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Calls with an interim status (1xx) are
// ignored.
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

// Write implements http.ResponseWriter. It blocks while the caller is slow to read.
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
	for rest := p; len(rest) > 0; {
		room := maxBuffered - w.buffer.Len()
		if room <= 0 {
			room = maxBuffered
		}
		piece := rest[:min(len(rest), room)]
		rest = rest[len(piece):]
		w.append(piece)
		if w.buffer.Len() < maxBuffered || !w.http11 && w.length == unknownLength {
			continue
		}
		if err := w.flush(); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}

// append adds a piece of the body to the buffer, as a chunk if the response is chunked.
func (w *writer) append(p []byte) {
	if !w.chunked || len(p) == 0 {
		w.buffer.Write(p)
		return
	}
	fmt.Fprintf(&w.buffer, "%x\r\n", len(p))
	w.buffer.Write(p)
	w.buffer.WriteString("\r\n")
}

// flush sends the head, if it hasn't been sent, and the buffer.
func (w *writer) flush() error {
	if err := w.turn.await(); err != nil {
		return err
	}
	w.announce()
	if !w.headSent {
		body := bytes.Clone(w.buffer.Bytes())
		w.buffer.Reset()
		w.writeHead()
		w.append(body)
	}
	if err := w.conn.awaitWritable(); err != nil {
		return err
	}
	if err := w.conn.reserveUnsent(w.buffer.Len()); err != nil {
		return err
	}
	_, err := w.conn.Write(w.buffer.Bytes())
	w.buffer.Reset()
	return err
}

// announce tells the memory what the caller has to read from now on: the whole body if its length is known.
func (w *writer) announce() {
	switch {
	case w.length == unknownLength || w.headOnly:
		w.conn.holder.Due(int64(w.buffer.Len()))
	case !w.headSent:
		w.conn.holder.Due(w.length)
	}
}

// writeHead writes the head into the buffer, which must be empty.
func (w *writer) writeHead() {
	w.headSent = true
	w.closeAfter = w.conn.decideLast(w.turn, w.closeAfter || hasClose(w.header))
	text := http.StatusText(w.status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(&w.buffer, "HTTP/1.1 %03d %s\r\n", w.status, text)
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	_ = w.header.WriteSubset(&w.buffer, framingHeaders)
	switch {
	case w.length != unknownLength && w.status != http.StatusNoContent:
		fmt.Fprintf(&w.buffer, "Content-Length: %d\r\n", w.length)
	case w.hasBody():
		w.chunked = true
		w.buffer.WriteString("Transfer-Encoding: chunked\r\n")
	}
	switch {
	case w.closeAfter:
		w.buffer.WriteString("Connection: close\r\n")
	case !w.http11:
		w.buffer.WriteString("Connection: keep-alive\r\n")
	}
	w.buffer.WriteString("\r\n")
}

// end completes the response. It aborts the connection if the body is shorter than the
// Content-Length that the handler has set.
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
	if w.closeAfter {
		w.conn.finish()
	}
}

// hasBody reports whether a body may follow the head.
func (w *writer) hasBody() bool { return !w.headOnly && w.statusHasBody() }

func (w *writer) statusHasBody() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

func hasClose(h http.Header) bool { return h.Get("Connection") == "close" }
