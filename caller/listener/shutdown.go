package listener

import (
	"context"
	"time"
)

// acceptDrainTime is how long Shutdown still accepts connections that callers have
// already opened.
const acceptDrainTime = 100 * time.Millisecond

// Shutdown stops accepting connections, waits until all requests in flight are
// answered, and closes the listener. The last response on a connection carries
// Connection: close. Idle connections stay open for the shutdown grace, in case a
// request is on its way. If ctx ends first, Shutdown closes the remaining connections
// and returns the error of ctx. Further calls wait for the same shutdown.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	first := !l.draining
	l.draining = true
	l.mu.Unlock()
	if first {
		l.stopAccepting()
	}
	err := l.awaitDrained(ctx)
	l.Close()
	return err
}

// stopAccepting makes the system drop new connections, accepts those that are already
// open, and closes the socket. Closing it at once would reset the connections that wait
// in the system's accept queue, and lose the requests sent on them.
func (l *Listener) stopAccepting() {
	if raw, err := l.tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = dropNewConnections(int(fd)) })
	}
	_ = l.tcp.SetDeadline(time.Now().Add(acceptDrainTime))
	l.accepter.Wait()
	_ = l.tcp.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkDrained()
}

// awaitDrained waits until no connection is open, and closes idle ones after each
// shutdown grace. It returns the error of ctx if that ends first.
func (l *Listener) awaitDrained(ctx context.Context) error {
	grace := time.NewTicker(l.settings.shutdownGrace)
	defer grace.Stop()
	for {
		select {
		case <-l.drained:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-grace.C:
			for _, c := range l.snapshot() {
				c.closeIfIdle()
			}
		}
	}
}

// Close closes the listener and all connections, which cancels the contexts of their
// handlers, and waits until the handlers have returned. Only the first call waits.
func (l *Listener) Close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return
	}
	_ = l.tcp.Close()
	l.accepter.Wait()
	l.cancel()
	for _, c := range l.snapshot() {
		c.abort()
	}
	l.awaitEnd()
}

// awaitEnd waits until all handlers have returned and all connections are closed.
func (l *Listener) awaitEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.handlers > 0 || len(l.conns) > 0 {
		l.ended.Wait()
	}
}
