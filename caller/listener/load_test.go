package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// BenchmarkWaitingHandlers sends a request on each of many connections at once, whose
// handlers take 500 ms, and reports how much later the last response arrives, in ms.
func BenchmarkWaitingHandlers(b *testing.B) {
	const wait = 500 * time.Millisecond
	for _, count := range []int{400, 1600, 6400} {
		b.Run(fmt.Sprintf("requests-%d", count), func(b *testing.B) {
			l := start(b, func(w http.ResponseWriter, r *http.Request) {
				timer := time.NewTimer(wait)
				defer timer.Stop()
				<-timer.C
				io.WriteString(w, "ok")
			})
			conns := make([]net.Conn, count)
			for i := range conns {
				conns[i] = dial(b, l)
				conns[i].SetDeadline(time.Now().Add(time.Minute))
			}
			b.ResetTimer()
			for range b.N {
				var all sync.WaitGroup
				for _, conn := range conns {
					all.Go(func() {
						io.WriteString(conn, get("/"))
						if _, err := conn.Read(make([]byte, 512)); err != nil {
							b.Error(err)
						}
					})
				}
				all.Wait()
			}
			b.ReportMetric(float64(b.Elapsed()/time.Duration(b.N)-wait)/float64(time.Millisecond), "ms-over-the-wait")
		})
	}
}

// BenchmarkUploads posts bodies on 16 connections at once, whose handlers wait until all
// bodies have arrived, and reports the heap bytes per body byte.
func BenchmarkUploads(b *testing.B) {
	const uploads = 16
	for _, size := range []int{1 << 20, 4 << 20, 16 << 20} {
		b.Run(fmt.Sprintf("bytes-%d", size), func(b *testing.B) {
			var arrived, measured sync.WaitGroup
			l := start(b, func(http.ResponseWriter, *http.Request) {
				arrived.Done()
				measured.Wait()
			})
			body := strings.Repeat("x", size)
			head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
			for range b.N {
				before := heapBytes()
				arrived.Add(uploads)
				measured.Add(1)
				var all sync.WaitGroup
				for range uploads {
					all.Go(func() {
						conn := dial(b, l)
						defer conn.Close()
						io.WriteString(conn, head)
						io.WriteString(conn, body)
						if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
							b.Error(err)
						}
					})
				}
				arrived.Wait()
				b.ReportMetric((heapBytes()-before)/float64(uploads*size), "heap/body-byte")
				measured.Done()
				all.Wait()
			}
			runtime.KeepAlive(body)
		})
	}
}
