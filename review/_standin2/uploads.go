package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// memoryKB is memory_mb of a machine, 284, as the template of the settings counts it.
const memoryKB = 284 * 1024

// machineMemory is what the platform sees of the memory of one machine's daemon.
type machineMemory struct {
	daemon *daemon
	mu     sync.Mutex
	// peak is the largest resident memory in kB, ends the number of processes that exceeded the machine's.
	peak, ends int
}

// resident returns the resident memory of a process in kB, and the part of it that is its own.
func resident(process int) (all, own int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d", &all)
		_, _ = fmt.Sscanf(line, "RssAnon: %d", &own)
	}
	return all, own
}

// watch kills the daemon when it exceeds the machine's memory, and starts it again, until done is closed.
func (m *machineMemory) watch(f *fleet, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		all, own := resident(m.daemon.command.Process.Pid)
		m.mu.Lock()
		m.peak = max(m.peak, all)
		m.mu.Unlock()
		if all <= memoryKB {
			continue
		}
		m.mu.Lock()
		m.ends++
		m.mu.Unlock()
		f.record.line("platform", "%s has %d kB of memory, %d kB of its own, over %d kB", m.daemon.name, all, own, memoryKB)
		f.kill(m.daemon)
		time.Sleep(restartDelay)
		if err := f.start(m.daemon); err != nil {
			return
		}
	}
}

// piece is the data of one chunk of an upload.
var piece = bytes.Repeat([]byte("x"), 1_000_000)

// upload sends a body in chunks and returns the status of the answer, 0 for none.
func upload(r *record, d *daemon, size int) int {
	id, status := fmt.Sprintf("%016x", lastRequest.Add(1)), 0
	defer func() { r.line("client", "%s upload of %d bytes at %s: %d", id, size, d.name, status) }()
	c, err := net.DialTimeout("tcp", d.outbound, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, _ = fmt.Fprintf(c, "POST /rounds/survey HTTP/1.1\r\nHost: %s\r\nX-Berylpass-Attempt-Id: %s\r\nX-Berylpass-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n", host, id, apiKey)
	for range size / len(piece) {
		if _, err := fmt.Fprintf(c, "%x\r\n", len(piece)); err != nil {
			break
		}
		if _, err := c.Write(piece); err != nil {
			break
		}
		_, _ = io.WriteString(c, "\r\n")
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	status = answer.StatusCode
	return status
}

// largeUploads lets a tenant send an upload every 2.4 s and what it takes, at two machines in turn, and with trouble, in
// spells, four at a time with a pause of 1.15 s: at most eight times as many.
func largeUploads(p *play) (bool, error) {
	const size, spells, hot, busy = 60_000_000, 7, 4, 2
	const calm, spell, usual, pause = 3 * time.Second, 9 * time.Second, 2400 * time.Millisecond, 1150 * time.Millisecond
	routes := object{"r-rounds": routeTo("rounds", "/rounds/", "upload", 3*time.Second)}
	if err := p.begin(configurationOf(7, routes, "rounds"), 230*time.Millisecond, kretowisko, "rounds", "rounds", "rounds", "rounds"); err != nil {
		return false, err
	}
	done, begin := make(chan struct{}), time.Now()
	var wait, watchers sync.WaitGroup
	var all []*machineMemory
	for _, d := range p.fleet.daemons {
		m := &machineMemory{daemon: d}
		all = append(all, m)
		watchers.Go(func() { m.watch(p.fleet, done) })
	}
	for n := range hot {
		wait.Go(func() {
			for try := n; time.Since(begin) < spells*(calm+spell); try++ {
				inSpell := p.trouble && time.Since(begin)%(calm+spell) >= calm
				if n > 0 && !inSpell {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				upload(p.record, p.fleet.daemons[try%busy], size)
				if inSpell {
					time.Sleep(pause)
				} else {
					time.Sleep(usual)
				}
			}
		})
	}
	wait.Wait()
	close(done)
	watchers.Wait()
	ended := 0
	for _, m := range all {
		p.record.line("check", "%s: peak %d kB, exceeded the machine's memory %d times", m.daemon.name, m.peak, m.ends)
		if m.ends >= 3 {
			ended++
		}
	}
	p.record.line("check", "Fault: processes ended three times on %d machines of %d", ended, len(all))
	return ended >= 2, nil
}
