package listener

import (
	"context"
	"time"
)

// acceptDrain is how long connections that the system has already taken are still accepted.
const acceptDrain = 50 * time.Millisecond

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

// stopAccepting takes the connections that wait in the system's queue and closes the socket.
func (l *Listener) stopAccepting() {
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
	l.awaitHandlers()
	l.engine.Stop()
}

func (l *Listener) awaitHandlers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.handlers > 0 {
		l.returned.Wait()
	}
}
