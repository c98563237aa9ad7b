package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	servers "berylpass/fleet/backend"
	"berylpass/platform/document"
	"berylpass/platform/heartbeat"
	"berylpass/platform/standin"
	"berylpass/platform/wire"
)

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err == nil {
		binary = filepath.Join(dir, "berylpass")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "berylpass/cmd/berylpass").CombinedOutput(); err != nil {
			err = fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const (
	// memoryMiB and descriptors are what the daemon's settings grant it, in MiB and as a number.
	memoryMiB   = 128
	descriptors = 4096
	// maxBody and maxHeader are the limits of the daemon's settings, in bytes.
	maxBody   = 8 << 20
	maxHeader = 64 << 10
	slots     = 16
	// patience is how long a step may take before the test gives up: much longer than any machine needs.
	patience = 40 * time.Second
)

// daemon is the process of a daemon, with its store and its backend server.
type daemon struct {
	t       *testing.T
	process *exec.Cmd
	ended   atomic.Bool
	log     string
	// ip is an address of its own, so that no port is taken by connections that other tests have opened.
	ip string
	// peakDescriptors is the largest number of open descriptors that was seen.
	peakDescriptors atomic.Int64
}

// firstPort is the lowest port of a daemon.
const firstPort = 7001

var lastDaemon atomic.Int64

func newIP() string {
	return fmt.Sprintf("127.90.%d.%d", os.Getpid()%250+1, lastDaemon.Add(1))
}

func (d *daemon) address(n int) string { return d.ip + ":" + strconv.Itoa(firstPort+n) }

// callers returns the address for callers.
func (d *daemon) callers() string { return d.address(0) }

// newDaemon starts a daemon that may open the given number of descriptors, and waits until an
// ordinary request is answered.
func newDaemon(t *testing.T, descriptors int) *daemon {
	t.Helper()
	d := startDaemon(t, newStore(t), "vm-1", descriptors)
	startBackend(t, d.address(2))
	d.mustAnswer(http.MethodGet, "/read/small", 0)
	return d
}

// newPair starts two daemons, of which the second has the only backend server, and waits until
// the first has an ordinary request answered.
func newPair(t *testing.T) (first, second *daemon) {
	t.Helper()
	store := newStore(t)
	first, second = startDaemon(t, store, "vm-1", descriptors), startDaemon(t, store, "vm-2", descriptors)
	startBackend(t, second.address(2))
	first.mustAnswer(http.MethodGet, "/read/small", 0)
	return first, second
}

// newStore starts a store with a configuration and returns its address.
func newStore(t *testing.T) string {
	t.Helper()
	store, err := standin.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	configuration := document.Configuration{
		Version: 1, Host: "app.example", Service: "rounds",
		RepeatableByPrefix: map[string]bool{"/read/": true, "/write/": false},
		Timeout:            20 * time.Second, MaxAttempts: 2, ColdRate: 1000,
	}
	if _, err := store.Store().Put(context.Background(), document.Key, configuration.JSON(), 0); err != nil {
		t.Fatal(err)
	}
	return store.Address()
}

// startDaemon starts a daemon that may open the given number of descriptors.
func startDaemon(t *testing.T, store, id string, descriptors int) *daemon {
	t.Helper()
	d := &daemon{t: t, ip: newIP()}
	dir := t.TempDir()
	file := filepath.Join(dir, "daemon.ini")
	if err := os.WriteFile(file, []byte(d.settings(store, id, descriptors)), 0o600); err != nil {
		t.Fatal(err)
	}
	d.start(file, filepath.Join(dir, "daemon.log"))
	return d
}

func (d *daemon) settings(store, id string, descriptors int) string {
	return fmt.Sprintf(`[daemon]
id = %s
datacentre = srem
region = wielkopolska
dialect = platform
service = rounds
[listen]
callers = %s
data = %s
backends = %s
readiness = %s
control = %s
operators = %s
[mesh]
secret = secret-of-the-crowd
[platform]
url = http://%s
timeout = 1s
[limits]
max-body = %dB
max-header = %dB
memory = %dMiB
descriptors = %d
[datacentres]
srem = wielkopolska
`, id, d.address(0), d.address(1), d.address(2), d.address(3), d.address(4), d.address(5), store, maxBody, maxHeader, memoryMiB, descriptors)
}

// start starts the process, and counts its descriptors until it ends.
func (d *daemon) start(file, log string) {
	d.t.Helper()
	out, err := os.Create(log)
	if err != nil {
		d.t.Fatal(err)
	}
	d.log = log
	d.process = exec.Command(binary, "serve", file)
	d.process.Stdout, d.process.Stderr = out, out
	// The kernel kills the daemon if the test dies.
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		d.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = d.process.Wait()
		d.ended.Store(true)
		close(exited)
	}()
	go func() {
		for !d.ended.Load() {
			names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.Process.Pid))
			d.peakDescriptors.Store(max(d.peakDescriptors.Load(), int64(len(names))))
			time.Sleep(10 * time.Millisecond)
		}
	}()
	d.t.Cleanup(func() {
		_ = d.process.Process.Kill()
		<-exited
		_ = out.Close()
	})
}

// startBackend starts a backend server and its heartbeats to the address.
func startBackend(t *testing.T, heartbeats string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(answer), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	announced := servers.New("i-1", "rounds", "").WithAddress(l.Addr().String()).
		WithSlots(slots).WithIncarnation(uint64(time.Now().UnixMilli())).WithState(servers.Serving)
	go func() {
		for sequence := uint64(1); ; sequence++ {
			body, err := heartbeat.Encode(announced, "srem", sequence, 0)
			if err != nil {
				panic(err)
			}
			request, _ := http.NewRequest(http.MethodPut, "http://"+heartbeats+wire.InstancesPath+"i-1", bytes.NewReader(body))
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

// answer answers /read/large/N with N bytes and all else with a few, after it has read the request.
func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(wire.RequestID, r.Header.Get(wire.RequestID))
	w.Header().Set(wire.InstanceID, "i-1")
	w.Header().Set(wire.Stamp, "stamp")
	size := 16
	if text, ok := strings.CutPrefix(r.URL.Path, "/read/large/"); ok {
		size, _ = strconv.Atoi(text)
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	piece := make([]byte, 16<<10)
	for ; size > 0; size -= len(piece) {
		if _, err := w.Write(piece[:min(size, len(piece))]); err != nil {
			return
		}
	}
}

var lastRequest atomic.Int64

func requestID() string { return fmt.Sprintf("r-%d", lastRequest.Add(1)) }

// mustAnswer sends an ordinary request with a body of the given length, on a connection of its
// own, until it is answered by the backend server.
func (d *daemon) mustAnswer(method, path string, body int) {
	d.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience / 4}
	var last string
	for end := time.Now().Add(patience); time.Now().Before(end) && !d.ended.Load(); time.Sleep(50 * time.Millisecond) {
		request, err := http.NewRequest(method, "http://"+d.callers()+path, bytes.NewReader(make([]byte, body)))
		if err != nil {
			d.t.Fatal(err)
		}
		request.Host = "app.example"
		request.Header.Set(wire.RequestID, requestID())
		request.Header.Set(wire.Timeout, "8000")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprint(response.Status, " ", string(text), err)
	}
	d.t.Errorf("an ordinary %s %s isn't answered: %s; ended %t: %s", method, path, last, d.ended.Load(), d.logTail())
}

// logTail returns the last lines of the daemon's log.
func (d *daemon) logTail() string {
	text, _ := os.ReadFile(d.log)
	return string(text[max(0, len(text)-2000):])
}

// check checks that the process lives and has stayed within its memory and descriptors.
func (d *daemon) check(descriptors int) {
	d.t.Helper()
	if d.ended.Load() {
		d.t.Fatalf("the daemon has ended: %s", d.logTail())
	}
	peak := d.status("VmHWM")
	d.t.Logf("peak memory %d MiB of %d, at the end %d; peak descriptors %d of %d",
		peak>>10, memoryMiB, d.status("VmRSS")>>10, d.peakDescriptors.Load(), descriptors)
	if peak > memoryMiB<<10 {
		d.t.Errorf("the daemon's memory was at %d MiB, over its %d", peak>>10, memoryMiB)
	}
	if n := d.peakDescriptors.Load(); n > int64(descriptors) {
		d.t.Errorf("the daemon had %d descriptors open, over its %d", n, descriptors)
	}
}

// status returns a value in KiB of the process's /proc/PID/status.
func (d *daemon) status(name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.Process.Pid))
	if err != nil {
		d.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+":"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	d.t.Fatalf("/proc/PID/status has no %s", name)
	return 0
}
