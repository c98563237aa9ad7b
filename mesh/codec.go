package mesh

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
)

// errTooLarge is the error of a read that exceeds MaxMessageBytes for one message.
var errTooLarge = errors.New("control message is too large")

// countingConn adds the bytes that are sent and received over a connection to two counters.
type countingConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// boundedReader returns errTooLarge once it has read remaining bytes. The codec resets
// remaining before each message.
type boundedReader struct {
	r         io.Reader
	remaining int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	if len(p) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.r.Read(p)
	b.remaining -= n
	return n, err
}

// gobCodec encodes and decodes net/rpc messages with gob. It bounds the size of received
// messages.
type gobCodec struct {
	conn    net.Conn
	in      *boundedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newGobCodec(conn net.Conn) gobCodec {
	in := &boundedReader{r: conn, remaining: MaxMessageBytes}
	buffer := bufio.NewWriter(conn)
	return gobCodec{conn: conn, in: in, decoder: gob.NewDecoder(in), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

// readHeader resets the size bound and decodes the header of the next message.
func (c gobCodec) readHeader(header any) error {
	c.in.remaining = MaxMessageBytes
	return c.decoder.Decode(header)
}

// readBody decodes the body of a message. It closes the connection on an error, because
// the messages after it can't be decoded.
func (c gobCodec) readBody(body any) error {
	err := c.decoder.Decode(body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

// write sends a header and a body. It closes the connection if they can't be encoded.
func (c gobCodec) write(header, body any) error {
	err := errors.Join(c.encoder.Encode(header), c.encoder.Encode(body))
	if err != nil {
		_ = c.conn.Close()
		return err
	}
	return c.buffer.Flush()
}

// Close closes the connection.
func (c gobCodec) Close() error { return c.conn.Close() }

type clientCodec struct{ gobCodec }

func newClientCodec(conn net.Conn) rpc.ClientCodec { return clientCodec{newGobCodec(conn)} }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error    { return c.readHeader(r) }
func (c clientCodec) ReadResponseBody(body any) error             { return c.readBody(body) }

type serverCodec struct{ gobCodec }

func newServerCodec(conn net.Conn) rpc.ServerCodec { return serverCodec{newGobCodec(conn)} }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error        { return c.readHeader(r) }
func (c serverCodec) ReadRequestBody(body any) error                { return c.readBody(body) }
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }
