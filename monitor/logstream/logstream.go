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
//	s := logstream.New(os.Stdout, time.Now)
//	defer s.Close()
//	logger := zerolog.New(s)
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

// LogStream is a rate-limited, non-blocking writer for zerolog. It is safe for concurrent use.
type LogStream struct {
	clock func() time.Time
	queue chan []byte
	done  sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	info, warnings tokenBucket
	dropped        int
}

var _ zerolog.LevelWriter = (*LogStream)(nil)

// New returns a stream to w. Errors of w are ignored, since there is nowhere to report them.
func New(w io.Writer, clock func() time.Time) *LogStream {
	full := tokenBucket{tokens: burstLines, updated: clock()}
	s := &LogStream{clock: clock, queue: make(chan []byte, queueLength), info: full, warnings: full}
	s.done.Go(func() {
		for line := range s.queue {
			_, _ = w.Write(line)
		}
	})
	return s
}

// Write queues a line of the info level, or drops it. It always reports success.
func (s *LogStream) Write(p []byte) (int, error) { return s.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel queues a line of the given level, or drops it. It always reports success.
func (s *LogStream) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(p), nil
	}
	now := s.clock()
	bucket := &s.info
	if level >= zerolog.WarnLevel {
		bucket = &s.warnings
	}
	if !bucket.take(now) {
		s.dropped++
		return len(p), nil
	}
	if s.dropped > 0 {
		var notice bytes.Buffer
		logger := zerolog.New(&notice)
		event.LinesDropped.Log(&logger).Int("lines", s.dropped).Send()
		if s.enqueue(notice.Bytes()) {
			s.dropped = 0
		}
	}
	if !s.enqueue(append([]byte(nil), p...)) {
		s.dropped++
	}
	return len(p), nil
}

// enqueue queues a line, and reports false if the queue is full. The caller holds s.mu.
func (s *LogStream) enqueue(line []byte) bool {
	select {
	case s.queue <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and stops. It drops later lines.
func (s *LogStream) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	s.done.Wait()
}
