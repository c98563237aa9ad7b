package main

import (
	"bytes"
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["uploads"] = uploads }

// uploads lets one tenant send eight times its usual uploads, in three spells, at two of four machines. Each body is
// far within max_body_bytes, and the tenant within its limit.
func uploads(r *record, trouble bool) (bool, error) {
	const (
		machineCount, busyMachines = 4, 2
		// spells of hotFor, in which hot clients upload at once instead of one.
		spells, hot     = 3, 8
		calmFor, hotFor = 12 * time.Second, 9 * time.Second
		// size is that of a body in bytes; the operators' max_body_bytes is 67108864.
		size = 15_000_000
	)
	s := newStore()
	c := configuration("r7")
	c["tenants"].(map[string]any)["tenant-2"] = map[string]any{"api_keys": []string{uploadKey}, "rate_per_s": 100, "burst": 200, "priority": 1}
	s.put("config", "main", c)
	var all []*machine
	for n := range machineCount {
		all = append(all, newMachine(n+1, []string{"zone-a", "zone-b"}[n%2], "rounds", s, r))
	}
	for _, m := range all {
		m.start()
	}
	waitReady(10*time.Second, all...)
	for n, m := range all {
		w := newWorker(fmt.Sprintf("i-%d", n+1), m, r)
		w.work = 230 * time.Millisecond
		go w.beat()
	}
	time.Sleep(4 * time.Second)
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	var mu sync.Mutex
	counts := map[string]int{}
	var wait sync.WaitGroup
	count := func(kind string, out result) {
		mu.Lock()
		defer mu.Unlock()
		name := kind + " " + strconv.Itoa(out.status)
		if out.err != nil {
			name = kind + " without an answer"
		}
		counts[name]++
	}
	begin := time.Now()
	end := begin.Add(spells * (calmFor + hotFor))
	for _, m := range all {
		small := newClients(m)
		wait.Go(func() {
			for time.Now().Before(end) {
				count("lookup", small.do("GET", "/lookup/2f", theKey, 2500*time.Millisecond, nil))
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for _, m := range all[:busyMachines] {
		for n := range hot {
			c := newClients(m)
			wait.Go(func() {
				for time.Now().Before(end) {
					inSpell := time.Since(begin)%(calmFor+hotFor) >= calmFor
					if n > 0 && !(trouble && inSpell) {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					count("upload", c.do("POST", "/survey/2f", uploadKey, 3*time.Second, body))
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	if trouble {
		for n := range spells {
			wait.Go(func() {
				time.Sleep(time.Until(begin.Add(time.Duration(n)*(calmFor+hotFor) + calmFor)))
				r.log("tenant-2 sends %d times its usual for %v: %d uploads of %d bytes at once at each of %d machines", hot, hotFor, hot, len(body), busyMachines)
			})
		}
	}
	wait.Wait()
	ended := 0
	for _, m := range all {
		m.mu.Lock()
		r.log("%s: peak memory %d kB, starts %d, killed for memory %d times", m.name, m.peakKB, m.starts, m.overMemory)
		if m.overMemory >= 3 {
			ended++
		}
		m.mu.Unlock()
	}
	r.log("clients got %v", counts)
	r.log("machines on which the daemon ended by itself three times: %d of %d", ended, machineCount)
	return ended >= 2, nil
}

// uploadKey is the key of the tenant that uploads.
const uploadKey = "8kq2zzp4w1nd7xv5t0aa"
