package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"berylpass/platform/wire"
)

// startLimit is the maximum time until a daemon that was started is ready.
const startLimit = 20 * time.Second

// vm is an emulated VM: the process of a daemon, and the proxies in front of and behind it.
type vm struct {
	id, ip, datacentre string
	settings           string
	// callers is the proxy for callers' connections to the daemon, store the one for the
	// daemon's connections to the store.
	callers, store *proxy
	log            *os.File

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// sigtermAt is the time at which SIGTERM was sent to the current process, or zero.
	sigtermAt time.Time
	// statuses holds the exit statuses of the processes that have ended.
	statuses []string
}

const callersPort, dataPort, backendsPort, readyPort, controlPort, operatorsPort = 7001, 7002, 7003, 7004, 7005, 7006

func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip, port) }

// newVM starts the proxies of a VM and writes the settings of its daemon.
func newVM(t *testing.T, dir, id, ip, datacentre, store string) *vm {
	t.Helper()
	v := &vm{id: id, ip: ip, datacentre: datacentre, settings: filepath.Join(dir, id+".ini")}
	v.store = newProxy(t, ip+":0", store)
	v.callers = newProxy(t, ip+":0", v.address(callersPort))
	text := fmt.Sprintf(`[daemon]
id = %s
datacentre = %s
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
secret = secret-of-the-soak

[platform]
url = http://%s
timeout = 1s

[limits]
retry-share = 0.2
retry-slack = 64
limit-overshoot = 0.1
limit-slack = 20

[shutdown]
grace = 5500ms

[datacentres]
srem = wielkopolska
gniezno = wielkopolska
`, id, datacentre, v.address(callersPort), v.address(dataPort), v.address(backendsPort), v.address(readyPort), v.address(controlPort), v.address(operatorsPort), v.store.address())
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(dir, id+".log"))
	if err != nil {
		t.Fatal(err)
	}
	v.log = log
	t.Cleanup(func() { _ = log.Close() })
	return v
}

// start starts the daemon's process and returns once it has logged event BP-1001, after
// which it handles signals.
func (v *vm) start() error {
	before, err := v.log.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if err := v.launch(); err != nil {
		return err
	}
	for deadline := time.Now().Add(startLimit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		text, err := os.ReadFile(v.log.Name())
		if err != nil {
			return err
		}
		if bytes.Contains(text[before:], []byte("BP-1001")) {
			return nil
		}
	}
	return fmt.Errorf("%s: event BP-1001 not logged within %v of the start", v.id, startLimit)
}

func (v *vm) launch() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := exec.Command(binary, "serve", v.settings)
	c.Stdout, c.Stderr = v.log, v.log
	// The kernel kills the daemon if the test dies.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.process, v.exited, v.sigtermAt = c, exited, time.Time{}
	go func() {
		err := c.Wait()
		v.mu.Lock()
		v.statuses = append(v.statuses, fmt.Sprint(err))
		v.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the current process of the daemon.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGTERM && v.sigtermAt.IsZero() {
		v.sigtermAt = time.Now()
	}
	// An error means that the process has already ended.
	_ = v.process.Process.Signal(s)
}

// kill sends SIGKILL to the process and waits until it has ended.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.awaitExit(startLimit)
}

// sigtermTime returns the time at which SIGTERM was sent to the current process, or zero.
func (v *vm) sigtermTime() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.sigtermAt
}

// exitStatuses returns the exit statuses of the processes that have ended.
func (v *vm) exitStatuses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.statuses)
}

// awaitExit waits until the process has ended. It returns false if that takes longer than
// the limit.
func (v *vm) awaitExit(limit time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second}
	response, err := c.Get("http://" + v.address(readyPort) + wire.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
