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

// errTooLarge closes a connection on which a message exceeds MaxMessage.
var errTooLarge = errors.New("control message is too large")

// countedConn counts the bytes that cross a connection.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// boundedReader fails after left bytes; the codec renews the bound with each message.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooLarge
	}
	if len(p) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= n
	return n, err
}

// gobCodec encodes net/rpc messages with gob under a size bound.
type gobCodec struct {
	conn    net.Conn
	in      *boundedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newGobCodec(conn net.Conn) gobCodec {
	in := &boundedReader{r: conn, left: MaxMessage}
	buffer := bufio.NewWriter(conn)
	return gobCodec{conn: conn, in: in, decoder: gob.NewDecoder(in), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

func (c gobCodec) readHeader(header any) error {
	c.in.left = MaxMessage
	return c.decoder.Decode(header)
}

// readBody closes the connection on an error: the stream cannot be read on from there.
func (c gobCodec) readBody(body any) error {
	err := c.decoder.Decode(body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

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
