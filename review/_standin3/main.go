// Command _standin3 plays the cases of review 3: it starts daemons as the deploy file says and plays
// the platform's store, the workers and the clients for them.
//
//	_standin3 CASE BINARY RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't be played. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	fleet   *fleet
	runs    *runs
	clients *clients
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record []string
}

var cases = map[string]func(*play) (broken bool, err error){
	"born":  playBorn,
	"first": playFirst,
	"mixed": playMixed,
	"twice": playTwice,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _standin3 CASE BINARY RECORD")
		os.Exit(2)
	}
	os.Exit(playCase(os.Args[1], os.Args[2], os.Args[3]))
}

func playCase(name, binary, record string) int {
	f, err := newFleet(binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{fleet: f, runs: &runs{}, clients: newClients(key), trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	defer f.close(os.Getenv("KEEP") != "")
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		f.close(false)
		os.Exit(2)
	}()
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
	}
	broken, err := cases[name](p)
	p.listAll()
	code := 0
	switch {
	case err != nil:
		p.note("couldn't be played: %v", err)
		code = 2
	case broken:
		p.note("the rule was broken")
		code = 1
	default:
		p.note("the rule held")
	}
	text := strings.Join(p.record, "\n") + "\n"
	if err := os.WriteFile(record, []byte(text), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(p.record[len(p.record)-1])
	return code
}

// note adds a line to the record.
func (p *play) note(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record = append(p.record, fmt.Sprintf("%8.3f s  ", time.Since(p.began).Seconds())+fmt.Sprintf(format, values...))
}

// listAll adds what was sent, answered and run.
func (p *play) listAll() {
	var lines []string
	for _, s := range p.clients.list() {
		lines = append(lines, fmt.Sprintf("%8.3f s  sent %s %s %s to %s, %.3f s: %d stamp=%q %s", s.at.Sub(p.began).Seconds(), s.attempt, s.method, s.path, s.machine,
			s.ended.Sub(s.at).Seconds(), s.status, s.stamp, s.err))
	}
	for _, r := range p.runs.list() {
		lines = append(lines, fmt.Sprintf("%8.3f s  run %s %s %s on %s, tenant %q, caller %q", r.at.Sub(p.began).Seconds(), r.attempt, r.method, r.target, r.worker, r.tenant, r.caller))
	}
	slices.Sort(lines)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record = append(p.record, "all requests and runs:")
	p.record = append(p.record, lines...)
}

const (
	key     = "nu6wsjnbanfqasnmgkcu"
	service = "rounds"
	// drain and stableWindow are the bounds of a small deployment.
	drain        = 2 * time.Second
	stableWindow = 3 * time.Second
)

// configuration returns a configuration of the operators: a safe and an unsafe route to one service.
func configuration(version int) map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"host": "app.example", "path_prefix": prefix, "kind": kind, "timeout": "1500ms", "target_latency": "800ms",
			"priority": 1, "service": service, "max_attempts": 2, "auth_exempt": false,
		}
	}
	return map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"routes":   map[string]any{"r-safe": route("/s/", "safe"), "r-unsafe": route("/u/", "unsafe")},
		"services": map[string]any{service: map[string]any{"health_path": "/health", "max_connections": 390, "cold_start": "3s", "cold_per_s": 12.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":  map[string]any{"hule930": map[string]any{"api_keys": []string{key}, "priority": 1, "rate_per_s": 400, "burst": 400}},
	}
}

// startFleet starts a daemon for each zone's machine and writes the first configuration.
func (p *play) startFleet(zones ...string) error {
	p.fleet.zones = []string{}
	for i, z := range zones {
		if _, err := p.fleet.add(fmt.Sprintf("sidecar-%s-%d", z, i+1), z, service); err != nil {
			return err
		}
	}
	p.fleet.store.put("config", "main", configuration(7))
	for _, d := range p.fleet.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return p.fleet.awaitReady(15 * time.Second)
}

// startWorkers starts a sound worker beside each daemon but the first, which gets its own from the
// case. They end when stop is closed.
func (p *play) startWorkers(stop <-chan struct{}) error {
	for i, d := range p.fleet.daemons[1:] {
		w, err := newWorker(fmt.Sprintf("i-sound-%d", i+2), service, d.zone, "127.0.0.1:0", time.Now().UnixMilli(), 20*time.Millisecond, p.runs)
		if err != nil {
			return err
		}
		go w.beat(d, stop)
	}
	return nil
}

// lateRuns returns the runs on a worker after a time, and notes the first.
func (p *play) lateRuns(id string, after time.Time) int {
	late := 0
	for _, r := range p.runs.list() {
		if r.worker == id && r.at.After(after) {
			if late++; late == 1 {
				p.note("%s ran %s at %.3f s", id, r.attempt, r.at.Sub(p.began).Seconds())
			}
		}
	}
	return late
}
