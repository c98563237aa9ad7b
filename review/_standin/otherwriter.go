package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["otherwriter"] = otherwriter }

// otherwriter kills all daemons while the store is down. All the time, another writer on each machine sends heartbeats
// that name a service which isn't in the configuration.
func otherwriter(r *record, trouble bool) (bool, error) {
	const (
		machineCount = 4
		storeDown    = 4500 * time.Millisecond
		recovery     = 15 * time.Second
	)
	s := newStore()
	s.put("config", "main", configuration("r7"))
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
		w.work = 100 * time.Millisecond
		go w.beat()
		other := &worker{id: fmt.Sprintf("x-%d", n+1), service: "other-product", slots: 4, machine: m, address: w.address, born: w.born + 1000}
		text, _ := json.Marshal(string(other.message("ready", "0ms")))
		r.log("%s: another writer sends every 1500 ms PUT /berylpass/instances/%s %s", m.name, other.id, text)
		go func() {
			time.Sleep(2 * time.Second)
			for {
				other.send(http.MethodPut, other.message("ready", "0ms"))
				time.Sleep(1500 * time.Millisecond)
			}
		}()
	}
	time.Sleep(4 * time.Second)
	type sent struct {
		at     time.Time
		status int
	}
	var mu sync.Mutex
	var requests []sent
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range all {
		c := newClients(m)
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				wait.Go(func() {
					now := time.Now()
					out := c.do("GET", "/lookup/2f", theKey, 2500*time.Millisecond, nil)
					mu.Lock()
					defer mu.Unlock()
					if out.err != nil {
						out.status = 0
					}
					requests = append(requests, sent{at: now, status: out.status})
				})
			}
		})
	}
	time.Sleep(8 * time.Second)
	fault := time.Now()
	if trouble {
		r.log("the platform's store is down for %v: it answers 503", storeDown)
		for _, m := range all {
			m.door.closed.Store(true)
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range all {
			m.kill()
		}
		time.Sleep(time.Until(fault.Add(storeDown)))
		for _, m := range all {
			m.door.closed.Store(false)
		}
		r.log("the platform's store is up")
	}
	back := fault.Add(storeDown)
	time.Sleep(time.Until(back.Add(recovery + 10*time.Second)))
	close(stop)
	wait.Wait()
	served, total := map[string]int{}, map[string]int{}
	statuses := map[int]int{}
	for _, q := range requests {
		when := "meanwhile"
		switch {
		case q.at.Before(fault):
			when = "before"
		case q.at.After(back.Add(recovery)):
			when = "after"
			statuses[q.status]++
		}
		total[when]++
		if q.status == http.StatusOK {
			served[when]++
		}
	}
	r.log("served before the fault: %d of %d; sent later than %v after the store and the machines are back: %d of %d, by status %v",
		served["before"], total["before"], recovery, served["after"], total["after"], statuses)
	return 4*served["before"] >= total["before"] && 4*served["after"] < total["after"], nil
}
