package listener

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// engine runs the library's event loops. All listeners of a process share one engine,
// which is never stopped: the library's Stop blocks forever if it is called before the
// loops have begun to run, since they start all the same.
type engine struct {
	*nbhttp.Engine
	// published is incremented after a connection is set up and loaded before one is
	// used, so that the goroutine that uses it sees it set up: the library passes
	// connections between goroutines without a lock.
	published atomic.Uint64
}

// sharedEngine returns the engine of the process, which the first call starts.
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
			c.noteWritten(n)
		}
	})
	// This is nbio's OnClose: that of nbhttp waits for the connection's handlers.
	e.Engine.Engine.OnClose(func(nbc *nbio.Conn, _ error) {
		if c := e.connOf(nbc); c != nil {
			c.handleClose()
		}
	})
	return e, e.Start()
})

// add adds a connection to the event loops.
func (e *engine) add(c *conn) error {
	c.SetSession(c)
	c.OnData(e.feed)
	e.published.Add(1)
	_, err := e.AddConn(c.Conn)
	return err
}

// connOf returns the conn that wraps the library's connection, or nil if there is none.
func (e *engine) connOf(nbc *nbio.Conn) *conn {
	e.published.Load()
	c, ok := nbc.Session().(*conn)
	if !ok {
		return nil
	}
	return c
}

// feed passes the bytes that the library has read from a caller to their conn.
func (e *engine) feed(nbc *nbio.Conn, data []byte) {
	if c := e.connOf(nbc); c != nil {
		c.feed(data)
	}
}

// serve runs the handler for a request once the earlier ones on its connection are
// answered. It hijacks the library's response, since a writer sends the response
// instead. The library reuses the request after serve returns, so the handler gets a
// copy.
func serve(w http.ResponseWriter, r *http.Request) {
	response := w.(*nbhttp.Response)
	if _, _, err := response.Hijack(); err != nil {
		return
	}
	c := response.Parser.Conn.(*conn)
	c.listener.serve(c, r)
}

// prepare completes a request after the library's parser has read it and before it is
// queued behind the earlier requests of its connection.
func prepare(w http.ResponseWriter, r *http.Request) {
	w.(*nbhttp.Response).Parser.Conn.(*conn).prepare(r)
}
