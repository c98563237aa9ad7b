// Package logstream writes log lines without ever blocking the goroutines that log,
// and bounds the rate of lines.
//
// Lines go through a queue to one goroutine that writes them. Lines over the rate
// limit are dropped, and so are those that find the queue full; a later line gives
// their number. Lines below the warn level, and lines of that level and above, have
// separate token buckets, so that a flood of requests doesn't crowd out warnings.
//
// # Usage
//
//	w := logstream.New(os.Stdout, time.Now)
//	defer w.Close()
//	logger := zerolog.New(w)
package logstream

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"berylpass/monitor/event"
)

const (
	// linesPerSecond and burstLines are the rate and the size of each token bucket. A
	// daemon at its design size receives 124 requests a second from callers and serves
	// 124 a second as a guard, at three lines for each.
	linesPerSecond = 500
	burstLines     = 1000
	// queueLength is the greatest number of lines that wait for the writer.
	queueLength = 4096
)

// tokenBucket limits the rate of lines; a line takes one token.
type tokenBucket struct {
	tokens  float64
	updated time.Time
}

// take takes a token, and reports false if there is none.
func (b *tokenBucket) take(now time.Time) bool {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(burstLines, b.tokens+linesPerSecond*elapsed.Seconds())
		b.updated = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Writer is a rate-limited, non-blocking writer for zerolog. It is safe for concurrent use.
type Writer struct {
	clock func() time.Time
	queue chan []byte
	done  sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	info, warnings tokenBucket
	dropped        int
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// New returns a stream to w. Errors of w are ignored, since there is nowhere to report them.
func New(w io.Writer, clock func() time.Time) *Writer {
	full := tokenBucket{tokens: burstLines, updated: clock()}
	s := &Writer{clock: clock, queue: make(chan []byte, queueLength), info: full, warnings: full}
	s.done.Go(func() {
		for line := range s.queue {
			_, _ = w.Write(line)
		}
	})
	return s
}

// Write queues a line of the info level, or drops it. It always reports success.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel queues a line of the given level, or drops it. It always reports success.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	now := w.clock()
	bucket := &w.info
	if level >= zerolog.WarnLevel {
		bucket = &w.warnings
	}
	if !bucket.take(now) {
		w.dropped++
		return len(p), nil
	}
	if w.dropped > 0 {
		var notice bytes.Buffer
		logger := zerolog.New(&notice)
		event.LogLinesDropped.Log(&logger).Int("lines", w.dropped).Send()
		if w.enqueue(notice.Bytes()) {
			w.dropped = 0
		}
	}
	if !w.enqueue(append([]byte(nil), p...)) {
		w.dropped++
	}
	return len(p), nil
}

// enqueue queues a line, and reports false if the queue is full. The caller holds s.mu.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and stops. It drops later lines.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	w.done.Wait()
}
