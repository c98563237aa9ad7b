package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// daemon is one process of the project, with the settings of its machine.
type daemon struct {
	name, zone, service                                          string
	callers, data, backends, readiness, control, operators, file string
	log                                                          *os.File
	fleet                                                        *fleet

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet holds the daemons and the store of one run.
type fleet struct {
	store   *store
	binary  string
	dir     string
	daemons []*daemon
	zones   []string
}

func newFleet(binary string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &fleet{store: s, binary: binary, dir: dir}, nil
}

// freeAddresses returns n loopback addresses of one machine, by its number, that are free at present. The
// machines have IP addresses of their own, so that no outgoing connection takes such a port meanwhile.
func freeAddresses(machine, n int) ([]string, error) {
	var found []string
	for range n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", 10+machine))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		found = append(found, l.Addr().String())
	}
	return found, nil
}

// add adds a machine with a daemon, which is not started yet.
func (f *fleet) add(name, zone, service string) (*daemon, error) {
	a, err := freeAddresses(len(f.daemons), 6)
	if err != nil {
		return nil, err
	}
	d := &daemon{name: name, zone: zone, service: service, callers: a[0], data: a[1], backends: a[2], readiness: a[3], control: a[4], operators: a[5], fleet: f}
	d.file = filepath.Join(f.dir, name+".ini")
	if d.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.daemons = append(f.daemons, d)
	known := false
	for _, z := range f.zones {
		known = known || z == zone
	}
	if !known {
		f.zones = append(f.zones, zone)
	}
	return d, nil
}

// settings returns what the platform makes of deploy/settings.ini for the machine.
func (d *daemon) settings() string {
	text := fmt.Sprintf(`[daemon]
id = %s
datacentre = %s
region = wielkopolska
dialect = platform
service = %s

[listen]
callers = %s
data = %s
backends = %s
readiness = %s
control = %s
operators = %s

[mesh]
secret = replace-this-secret-for-each-deployment

[platform]
url = http://%s
timeout = 1s

[limits]
retry-share = 0.2
retry-slack = 64
limit-overshoot = 0.1
limit-slack = 20
memory = 284MiB
descriptors = 4100

[rollout]

[shutdown]
grace = 6s
reserve = 500ms

[datacentres]
`, d.name, d.zone, d.service, d.callers, d.data, d.backends, d.readiness, d.control, d.operators, d.fleet.store.address)
	for _, z := range d.fleet.zones {
		text += z + " = wielkopolska\n"
	}
	return text
}

// start starts the daemon's process as the deploy file says.
func (d *daemon) start() error {
	if err := os.WriteFile(d.file, []byte(d.settings()), 0o600); err != nil {
		return err
	}
	c := exec.Command(d.fleet.binary, "serve", d.file)
	c.Stdout, c.Stderr = d.log, d.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended = c, ended
	d.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil {
		_ = d.command.Process.Signal(s)
	}
}

// kill kills the daemon's process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.readiness + "/berylpass/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons say that they are ready.
func (f *fleet) awaitReady(patience time.Duration) error {
	end := time.Now().Add(patience)
	for _, d := range f.daemons {
		for !d.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes. It keeps the folder with the logs if keep is set.
func (f *fleet) close(keep bool) {
	for _, d := range f.daemons {
		d.signal(syscall.SIGCONT)
		d.kill()
		_ = d.log.Close()
	}
	_ = f.store.server.Close()
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}
