package listener

import (
	"context"
	"time"
)

// acceptDrain is how long connections that callers have started are still accepted.
const acceptDrain = 100 * time.Millisecond

// Shutdown stops accepting, answers all requests in flight, and closes. Answers
// carry Connection: close. Connections without a request are left open for the
// grace first, in case a request is under way. When ctx ends before, what is left
// is cut and the error of ctx returned. Further calls wait for the same end.
func (l *Listener) Shutdown(ctx context.Context) error {
	l.mu.Lock()
	first := !l.draining
	l.draining = true
	l.mu.Unlock()
	if first {
		l.stopAccepting()
	}
	err := l.awaitEmpty(ctx)
	l.Close()
	return err
}

// stopAccepting keeps callers from starting new connections, takes those that
// were started, and closes the socket. Closing it at once would reset the ones
// that wait in the system's queue, with the requests sent on them.
func (l *Listener) stopAccepting() {
	if raw, err := l.tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = dropNewConnections(int(fd)) })
	}
	_ = l.tcp.SetDeadline(time.Now().Add(acceptDrain))
	l.accepter.Wait()
	_ = l.tcp.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checkEmptied()
}

func (l *Listener) awaitEmpty(ctx context.Context) error {
	grace := time.NewTicker(l.settings.shutdownGrace)
	defer grace.Stop()
	for {
		select {
		case <-l.emptied:
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

// Close cuts all connections and waits for their handlers, whose contexts end.
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

// awaitEnd waits for the handlers and for the connections to be closed.
func (l *Listener) awaitEnd() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.handlers > 0 || len(l.conns) > 0 {
		l.ended.Wait()
	}
}
