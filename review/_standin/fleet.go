package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the case's record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// theRecord is the record of the case that runs, nil before there is one.
var theRecord *record

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fatal(err)
	}
	theRecord = &record{file: f, start: time.Now()}
	return theRecord
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// fatal ends the case with 2: it couldn't run.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	if theRecord != nil {
		theRecord.log("the case can't run: %v", err)
	}
	cleanup()
	os.Exit(2)
}

var (
	cleanupMu sync.Mutex
	machines  []*machine
	tempDir   string
)

// cleanup ends all processes that the case started.
func cleanup() {
	cleanupMu.Lock()
	defer cleanupMu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		m.gone = true
		p := m.process
		m.mu.Unlock()
		if p != nil {
			_ = p.Process.Kill()
		}
	}
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
}

// machine is one sidecar machine: a daemon on an IP address of its own.
type machine struct {
	name, zone, service, ip string
	ports                   map[string]int
	door                    *door
	settings                string
	record                  *record

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	peakKB  int
	// overMemory counts how often the daemon exceeded memory_mb and was killed for it, crashes its other ends.
	overMemory, crashes int
	gone                bool
}

// memoryMB is memory_mb of the small sites.
const memoryMB = 284

func freePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func newMachine(n int, zone, service string, s *store, r *record) *machine {
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, n), zone: zone, service: service,
		ip: fmt.Sprintf("127.0.%d.%d", 60+os.Getpid()%100, 10+n), ports: map[string]int{}, record: r,
	}
	for _, p := range []string{"outbound", "inbound", "control", "ready", "internal0", "internal1"} {
		m.ports[p] = freePort(m.ip)
	}
	m.door = s.door(m.ip)
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		fatal(err)
	}
	text := string(template)
	for from, to := range map[string]string{
		"{{node_name}}": m.name, "{{zone}}": zone, "{{region}}": "region-1", "{{service}}": service, "{{ip}}": m.ip,
		"{{listen.outbound}}": m.address("outbound"), "{{listen.inbound}}": m.address("inbound"),
		"{{listen.control}}": m.address("control"), "{{listen.ready}}": m.address("ready"),
		"{{internal_ports.0}}": strconv.Itoa(m.ports["internal0"]), "{{internal_ports.1}}": strconv.Itoa(m.ports["internal1"]),
		"{{platform.address}}":          strings.TrimPrefix(m.door.url, "http://"),
		"{{bounds.retry_budget_ratio}}": "0.2", "{{bounds.retry_budget_slack}}": "64",
		"{{bounds.quota_overshoot}}": "0.1", "{{bounds.quota_slack}}": "20", "{{bounds.grace}}": "6s",
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	start := strings.Index(text, "{{#zones}}")
	end := strings.Index(text, "{{/zones}}")
	text = text[:start] + "zone-a = region-1\nzone-b = region-1\n" + text[end+len("{{/zones}}"):]
	m.settings = filepath.Join(tempDir, m.name+".yaml")
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		fatal(err)
	}
	cleanupMu.Lock()
	machines = append(machines, m)
	cleanupMu.Unlock()
	return m
}

func (m *machine) address(port string) string { return fmt.Sprintf("%s:%d", m.ip, m.ports[port]) }

// start starts the daemon. The platform starts it again when it ends, and kills it when it exceeds its memory.
func (m *machine) start() {
	c := exec.Command("target/berylpass", "serve", m.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	log, err := os.OpenFile(filepath.Join(tempDir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		fatal(err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.starts++
	m.mu.Unlock()
	m.record.log("%s: daemon started, process %d", m.name, c.Process.Pid)
	go m.watchMemory(c, exited)
	go func() {
		err := c.Wait()
		_ = log.Close()
		close(exited)
		m.mu.Lock()
		gone := m.gone
		m.mu.Unlock()
		if gone {
			return
		}
		m.record.log("%s: daemon ended: %v", m.name, err)
		time.Sleep(300 * time.Millisecond)
		m.mu.Lock()
		gone = m.gone
		m.mu.Unlock()
		if !gone {
			m.start()
		}
	}()
}

// resident returns the resident memory of a process in kB.
func resident(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb
		}
	}
	return 0
}

func (m *machine) watchMemory(c *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(5 * time.Millisecond):
		}
		kb := resident(c.Process.Pid)
		m.mu.Lock()
		m.peakKB = max(m.peakKB, kb)
		over := kb > memoryMB*1024 && !m.gone
		if over {
			m.overMemory++
		}
		m.mu.Unlock()
		if over {
			m.record.log("%s: the daemon has %d kB of memory, over memory_mb = %d: killed by the platform", m.name, kb, memoryMB)
			_ = c.Process.Kill()
			<-exited
			return
		}
	}
}

// kill is SIGKILL by the disruption; the platform starts the daemon again.
func (m *machine) kill() {
	m.mu.Lock()
	c := m.process
	m.mu.Unlock()
	m.record.log("%s: SIGKILL", m.name)
	_ = c.Process.Kill()
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + m.address("ready") + "/berylpass/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func waitReady(limit time.Duration, all ...*machine) {
	end := time.Now().Add(limit)
	for _, m := range all {
		for !m.ready() {
			if time.Now().After(end) {
				text, _ := os.ReadFile(filepath.Join(tempDir, m.name+".log"))
				fatal(fmt.Errorf("%s is not ready: %s", m.name, bytes.TrimSpace(text)))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
