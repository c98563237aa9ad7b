package listener

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/lesismal/nbio/nbhttp"
)

// BenchmarkIdleConnections reports the heap and stack bytes per idle connection after
// one request, including the client's side of it (a net.Conn) in the same process.
func BenchmarkIdleConnections(b *testing.B) {
	l := start(b, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	var conns []net.Conn
	empty := 0.0
	for _, count := range []int{100, 1000, 2000, 4000, 8000} {
		for len(conns) < count {
			conn := dial(b, l)
			io.WriteString(conn, get("/"))
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				b.Fatal(err)
			}
			conns = append(conns, conn)
		}
		if empty == 0 {
			empty = heapBytes()
			continue
		}
		b.ReportMetric((heapBytes()-empty)/float64(count-100), fmt.Sprintf("B/conn-at-%d", count))
	}
	runtime.KeepAlive(conns)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkRequest compares this listener with plain nbhttp and with net/http, over one
// connection.
func BenchmarkRequest(b *testing.B) {
	handler := func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") }
	b.Run("listener", func(b *testing.B) { exchange(b, start(b, handler).Address()) })
	b.Run("nbhttp", func(b *testing.B) {
		address := ""
		engine := nbhttp.NewEngine(nbhttp.Config{
			Addrs:   []string{"127.0.0.1:0"},
			Handler: http.HandlerFunc(handler),
			Listen: func(network, a string) (net.Listener, error) {
				tcp, err := net.Listen(network, a)
				if err == nil {
					address = tcp.Addr().String()
				}
				return tcp, err
			},
		})
		if err := engine.Start(); err != nil {
			b.Fatal(err)
		}
		defer engine.Stop()
		exchange(b, address)
	})
	b.Run("net-http", func(b *testing.B) {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(handler)}
		go server.Serve(tcp)
		defer server.Close()
		exchange(b, tcp.Addr().String())
	})
}

func exchange(b *testing.B, address string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		io.WriteString(conn, get("/lookup"))
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
	}
}
