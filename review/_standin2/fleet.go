package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// restartDelay is the pause before the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// daemon is one process of the system, with the settings of its machine.
type daemon struct {
	name, zone, service, ip string
	outbound, inbound       string
	ready, control          string
	internal, operators     string
	settings, log           string
	command                 *exec.Cmd
	exited                  chan struct{}
}

// fleet is a small deployment: a store, daemons, and the workers beside them.
type fleet struct {
	record  *record
	folder  string
	store   *store
	daemons []*daemon
	// zones holds the zones in order; all are in one region.
	zones []string
}

// newFleet starts a store and, for each of the given services, a daemon on a machine whose worker
// has that service. The machines are spread over the zones in turn.
func newFleet(r *record, folder string, zones []string, services ...string) (*fleet, error) {
	f := &fleet{record: r, folder: folder, zones: zones}
	var err error
	if f.store, err = newStore(r); err != nil {
		return nil, err
	}
	for n, service := range services {
		d, err := f.newDaemon(n, service)
		if err != nil {
			return nil, err
		}
		f.daemons = append(f.daemons, d)
		if err := f.start(d); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// loopback returns the loopback address of a machine. Its second byte depends on the process, so that scripts that run at
// once don't take each other's ports.
func loopback(zone, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, zone, machine)
}

// freeAddresses sets the addresses to different ports of the IP that are free now.
func freeAddresses(ip string, addresses ...*string) error {
	for _, address := range addresses {
		// The ports are held until all are found, so that none is given out twice.
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		*address = l.Addr().String()
	}
	return nil
}

func (f *fleet) newDaemon(n int, service string) (*daemon, error) {
	zone := f.zones[n%len(f.zones)]
	d := &daemon{name: fmt.Sprintf("sidecar-%s-%d", zone, n+1), zone: zone, service: service, ip: loopback(n%len(f.zones), n+1)}
	if err := freeAddresses(d.ip, &d.outbound, &d.inbound, &d.ready, &d.control, &d.internal, &d.operators); err != nil {
		return nil, err
	}
	d.settings, d.log = filepath.Join(f.folder, d.name+".ini"), filepath.Join(f.folder, d.name+".log")
	return d, os.WriteFile(d.settings, []byte(f.settingsOf(d)), 0o600)
}

// settingsOf returns the settings of a daemon, as the template of the deploy file gives them.
func (f *fleet) settingsOf(d *daemon) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[daemon]\nid = %s\ndatacentre = %s\nregion = wielkopolska\ndialect = platform\nservice = %s\n\n", d.name, d.zone, d.service)
	fmt.Fprintf(&b, "[listen]\ncallers = %s\ndata = %s\nbackends = %s\nreadiness = %s\ncontrol = %s\noperators = %s\n\n",
		d.outbound, d.inbound, d.control, d.ready, d.internal, d.operators)
	b.WriteString("[mesh]\nsecret = replace-this-secret-for-each-deployment\n\n")
	fmt.Fprintf(&b, "[platform]\nurl = http://%s\ntimeout = 1s\n\n", f.store.address())
	b.WriteString("[limits]\nretry-share = 0.2\nretry-slack = 64\nlimit-overshoot = 0.1\nlimit-slack = 20\nmemory = 284MiB\ndescriptors = 4100\n\n")
	b.WriteString("[rollout]\n\n[shutdown]\ngrace = 6s\nreserve = 500ms\n\n[datacentres]\n")
	for _, zone := range f.zones {
		fmt.Fprintf(&b, "%s = wielkopolska\n", zone)
	}
	return b.String()
}

// start starts a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/berylpass", "serve", d.settings)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := c.Start(); err != nil {
		return err
	}
	_ = log.Close()
	exited := make(chan struct{})
	d.command, d.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	f.record.line("process", "%s started", d.name)
	return nil
}

// kill kills daemons at the same moment.
func (f *fleet) kill(daemons ...*daemon) {
	for _, d := range daemons {
		_ = d.command.Process.Signal(syscall.SIGKILL)
	}
	for _, d := range daemons {
		<-d.exited
		f.record.line("process", "%s killed", d.name)
	}
}

// stop kills all daemons that run.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		if d.command != nil {
			_ = d.command.Process.Signal(syscall.SIGKILL)
			<-d.exited
		}
	}
}

// isReady asks a daemon for its readiness, as the platform does.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Get("http://" + d.ready + "/berylpass/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for {
		ready := 0
		for _, d := range f.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(f.daemons) {
			f.record.line("platform", "all %d daemons are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d daemons are ready after %s", ready, len(f.daemons), limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
}
