package listener

import (
	"net/http"
	"strconv"
	"time"

	"berylpass/caller/framing"
)

var (
	continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")
	// lastChunk ends a chunked body.
	lastChunk = []byte("0\r\n\r\n")
)

// feed processes the bytes that were read from the caller, unless the connection is closing.
func (c *conn) feed(data []byte) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if !c.beginReading() {
		return
	}
	if c.tls == nil {
		c.process(data)
	} else {
		c.decrypt(data)
	}
	if err := c.reserveHead(); err != nil {
		c.refuse(err)
	}
	c.endReading()
}

// decrypt processes the plaintext of the TLS records in data.
func (c *conn) decrypt(data []byte) {
	defer c.tls.ResetOrFreeBuffer()
	ciphertext := data
	plaintext := make([]byte, len(data))
	for {
		_, n, err := c.tls.AppendAndRead(ciphertext, plaintext)
		ciphertext = nil
		if err != nil {
			c.abort()
			return
		}
		if n == 0 {
			return
		}
		c.process(plaintext[:n])
	}
}

// process splits data into parts of requests and forwards them to the library's parser. It holds the bytes behind
// maxPipelined unanswered requests.
func (c *conn) process(data []byte) {
	if c.refused {
		return
	}
	if held := c.unhold(); len(held) > 0 {
		data = append(held, data...)
	}
	for {
		if c.framer.Idle() && len(data) > 0 && c.pipelineFull() {
			if err := c.hold(data); err != nil {
				c.refuse(err)
			}
			return
		}
		part, rest, err := c.framer.Next(data)
		if err == nil {
			err = c.forward(part)
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

// forward passes a part to the library's parser, except bodies, which are kept here: the
// parser gets an empty body in chunks.
func (c *conn) forward(part framing.Part) error {
	switch part.Kind {
	case framing.Head:
		return c.forwardHead(part)
	case framing.Body:
		return c.appendBody(part.Bytes)
	case framing.End:
		if c.length != 0 {
			return c.parse(lastChunk)
		}
	}
	return nil
}

// forwardHead passes a head to the library's parser, after it has reserved room for the
// body, set the read deadline for it, and sent 100 Continue where the caller expects it.
func (c *conn) forwardHead(part framing.Part) error {
	c.mu.Lock()
	waiting := c.unanswered
	c.mu.Unlock()
	if err := c.reserve(requestBytes + parsedHeads*int64(len(part.Bytes))); err != nil {
		return err
	}
	if err := c.beginBody(part.Length); err != nil {
		return err
	}
	if part.Length != 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.bodyTimeLimit(part.Length)))
	}
	if part.ExpectsContinue && waiting == 0 {
		if _, err := c.Write(continueResponse); err != nil {
			return err
		}
	}
	return c.parse(part.Bytes)
}

// bodyTimeLimit returns the time limit for a body of the given length in bytes. A
// body of UnknownLength gets that of a body of the maximum length.
func (c *conn) bodyTimeLimit(length int64) time.Duration {
	if length == framing.UnknownLength {
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

// beginReading marks the connection as reading. It returns false if the connection is closing.
func (c *conn) beginReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.reading = true
	return true
}

// endReading updates the state after data was processed. It sets the head timeout when the
// first bytes of an incomplete head have arrived, and the idle timeout between requests.
func (c *conn) endReading() {
	idle := c.framer.Idle()
	c.mu.Lock()
	c.reading = (!idle || len(c.held) > 0) && !c.refused
	c.partialHead = c.reading && !idle && c.length == 0
	waiting := c.unanswered > 0
	if !c.partialHead {
		c.quietSince = time.Now()
	}
	c.mu.Unlock()
	if !idle && !c.refused && !waiting && c.length == 0 && !c.inHead {
		_ = c.SetReadDeadline(time.Now().Add(c.listener.headTimeout()))
	}
	c.inHead = !idle && c.length == 0
	if idle && !waiting {
		c.expectRequest()
	}
}

// prepare completes a request after the library's parser has read it and before it is
// queued: it restores the framing that the caller sent, and counts the request as
// unanswered.
func (c *conn) prepare(r *http.Request) {
	r.ContentLength, r.TransferEncoding = c.length, nil
	if c.length >= 0 {
		r.Header.Del("Transfer-Encoding")
	}
	if c.length > 0 {
		r.Header.Set("Content-Length", strconv.FormatInt(c.length, 10))
	}
	if c.length != 0 {
		r.Body = c.endBody()
	}
	c.length = 0
	r.Header.Del("Host")
	r.URL.Host = ""
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.mu.Lock()
	c.unanswered++
	c.completeRequest()
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
}
