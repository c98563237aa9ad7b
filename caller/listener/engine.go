package listener

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// engine is the library's event loops. All listeners of a process share one, which
// is never stopped: an engine that is stopped before its loops have begun to run
// starts them all the same, and waits for their end for ever.
type engine struct {
	*nbhttp.Engine
	// published rises once a connection is set up and is read before one is used,
	// since the library hands connections from goroutine to goroutine without a lock.
	published atomic.Uint64
}

// sharedEngine starts the engine at the first call.
var sharedEngine = sync.OnceValues(func() (*engine, error) {
	logging.SetLevel(logging.LevelNone)
	e := &engine{}
	e.Engine = nbhttp.NewEngine(nbhttp.Config{
		Name:              "callers",
		Handler:           http.HandlerFunc(serve),
		OnRequest:         prepare,
		ServerExecutor:    func(job func()) { go job() },
		SupportServerOnly: true,
		RetainHTTPBody:    true,
	})
	e.OnWrittenSize(func(nbc *nbio.Conn, _ []byte, n int) {
		if c := e.connOf(nbc); c != nil {
			c.sent(n)
		}
	})
	// The HTTP engine's own OnClose waits for the handlers of the connection.
	e.Engine.Engine.OnClose(func(nbc *nbio.Conn, _ error) {
		if c := e.connOf(nbc); c != nil {
			c.left()
		}
	})
	return e, e.Start()
})

// add hands a connection to the event loops.
func (e *engine) add(c *conn) error {
	c.SetSession(c)
	c.OnData(e.feed)
	e.published.Add(1)
	_, err := e.AddConn(c.Conn)
	return err
}

// connOf returns the connection that belongs to the library's, or nil.
func (e *engine) connOf(nbc *nbio.Conn) *conn {
	e.published.Load()
	c, ok := nbc.Session().(*conn)
	if !ok {
		return nil
	}
	return c
}

// feed takes the bytes that the library has read from a caller.
func (e *engine) feed(nbc *nbio.Conn, data []byte) {
	if c := e.connOf(nbc); c != nil {
		c.feed(data)
	}
}

// serve runs the handler for a request whose turn has come. The library's own
// answer is put aside, and the library reuses the request after serve returns.
func serve(w http.ResponseWriter, r *http.Request) {
	response := w.(*nbhttp.Response)
	if _, _, err := response.Hijack(); err != nil {
		return
	}
	c := response.Parser.Conn.(*conn)
	c.listener.serve(c, r)
}

// prepare completes a request that the library's parser has read, before it waits for its turn.
func prepare(w http.ResponseWriter, r *http.Request) {
	w.(*nbhttp.Response).Parser.Conn.(*conn).prepare(r)
}
