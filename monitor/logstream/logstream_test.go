package logstream

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against unbounded logging, and against a flood of info lines that crowds out a warning.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(0, 0)
	s := New(&out, func() time.Time { return now })
	for range 10 * burstLines {
		_, _ = s.Write([]byte("info\n"))
	}
	_, _ = s.WriteLevel(zerolog.WarnLevel, []byte("fault\n"))
	now = now.Add(time.Second)
	_, _ = s.Write([]byte("later\n"))
	s.Close()
	if n := strings.Count(out.String(), "info\n"); n != burstLines {
		t.Errorf("%d info lines, want %d", n, burstLines)
	}
	for _, want := range []string{"fault\n", "later\n", "\"lines\":9000"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a stuck output, such as a full pipe, that blocks the goroutines that log.
func TestLoggingNeverBlocks(t *testing.T) {
	w := blockedWriter{release: make(chan struct{})}
	now := time.Unix(0, 0)
	s := New(w, func() time.Time { return now })
	for range 3 * queueLength {
		now = now.Add(time.Second / linesPerSecond)
		_, _ = s.Write([]byte("line\n"))
	}
	close(w.release)
	s.Close()
}
