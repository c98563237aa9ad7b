package listener

import (
	"net/http"
	"strconv"
	"time"

	"berylpass/caller/framing"
)

var (
	interim = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	newLine = []byte("\r\n")
	// lastChunk ends a body on its way to the library's parser.
	lastChunk = []byte("0\r\n\r\n")
)

// feed takes the bytes that have come from the caller.
func (c *conn) feed(data []byte) {
	if !c.beginReading() {
		return
	}
	if c.tls == nil {
		c.take(data)
	} else {
		c.decrypt(data)
	}
	c.endReading()
}

// decrypt hands on what TLS makes of the data.
func (c *conn) decrypt(data []byte) {
	defer c.tls.ResetOrFreeBuffer()
	sealed := data
	plain := make([]byte, len(data))
	for {
		_, n, err := c.tls.AppendAndRead(sealed, plain)
		sealed = nil
		if err != nil {
			c.abort()
			return
		}
		if n == 0 {
			return
		}
		c.take(plain[:n])
	}
}

// take follows the requests in data and passes them to the library's parser.
func (c *conn) take(data []byte) {
	if c.refused {
		return
	}
	for {
		part, rest, err := c.framer.Next(data)
		if err == nil {
			err = c.pass(part)
		}
		if err != nil {
			c.refuse(err)
			return
		}
		data = rest
		if part.Kind == framing.None && len(rest) == 0 {
			return
		}
	}
}

// pass hands a part to the library's parser. Bodies go in chunks as they come, so
// that the parser holds nothing back.
func (c *conn) pass(part framing.Part) error {
	switch part.Kind {
	case framing.Head:
		return c.passHead(part)
	case framing.Body:
		if c.length == framing.Unbounded {
			if err := c.hold(int64(len(part.Bytes))); err != nil {
				return err
			}
		}
		size := strconv.AppendInt(make([]byte, 0, 16), int64(len(part.Bytes)), 16)
		return c.parse(append(size, newLine...), part.Bytes, newLine)
	case framing.End:
		if c.length != 0 {
			return c.parse(lastChunk)
		}
	}
	return nil
}

func (c *conn) passHead(part framing.Part) error {
	c.mu.Lock()
	waiting := c.unanswered
	c.mu.Unlock()
	if waiting >= maxPipelined {
		return errPipelined
	}
	c.length = part.Length
	if part.Length > 0 {
		// The whole body is held from the start, so that bodies which come in
		// together don't all fail half way.
		if err := c.hold(part.Length); err != nil {
			return err
		}
	}
	if part.Length != 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.bodyTime(part.Length)))
	}
	if part.Expects && waiting == 0 {
		if _, err := c.Write(interim); err != nil {
			return err
		}
	}
	return c.parse(part.Bytes)
}

func (c *conn) bodyTime(length int64) time.Duration {
	if length == framing.Unbounded {
		length = c.listener.settings.maxBody
	}
	return bodyTimeout + time.Duration(length)*time.Second/minBodyRate
}

func (c *conn) parse(pieces ...[]byte) error {
	for _, piece := range pieces {
		if err := c.parser.Parse(piece); err != nil {
			return err
		}
	}
	return nil
}

// beginReading marks the connection as busy, unless it is closing.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// endReading gives a head that has arrived in part its time, counted from its first bytes.
func (c *conn) endReading() {
	idle := c.framer.Idle()
	c.mu.Lock()
	c.reading = !idle && !c.refused
	waiting := c.unanswered > 0
	c.mu.Unlock()
	if !idle && !c.refused && !waiting && c.length == 0 && !c.inHead {
		_ = c.SetReadDeadline(time.Now().Add(headTimeout))
	}
	c.inHead = !idle && c.length == 0
	if idle && !waiting {
		c.expectRequest()
	}
}

// prepare completes a request that the library's parser has read, before it waits for its turn.
func (c *conn) prepare(r *http.Request) {
	r.ContentLength, r.TransferEncoding = c.length, nil
	if c.length >= 0 {
		r.Header.Del("Transfer-Encoding")
	}
	if c.length > 0 {
		r.Header.Set("Content-Length", strconv.FormatInt(c.length, 10))
	}
	c.length = 0
	r.Header.Del("Host")
	r.URL.Host = ""
	c.deadline.Lock()
	defer c.deadline.Unlock()
	c.mu.Lock()
	c.unanswered++
	c.completeBody()
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
}
