package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// The times from the start of the machines to the other writer's heartbeats, the first configuration and the first
	// request.
	foreignHeartbeat   = 1500 * time.Millisecond
	firstConfiguration = 3 * time.Second
	trafficStart       = 8 * time.Second
)

// foreignMessage returns a heartbeat of another writer, with a service that no configuration names and the address
// of a worker.
func foreignMessage(address string) []byte {
	text, _ := json.Marshal(map[string]any{
		"address": address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": "unnamed", "version": "v1", "zone": "", "slots": 1},
		"status": map[string]any{"state": "ready", "sequence": 1, "cold_left": "0ms"},
	})
	return text
}

// playFirst starts the fleet some seconds before the operator writes the first configuration, and lets another writer
// send one heartbeat to each daemon in between.
func playFirst(p *play) (broken bool, err error) {
	zones := []string{"poznan-a", "poznan-b", "kalisz", "konin"}
	for i, z := range zones {
		if _, err := p.fleet.add("sidecar-"+z+"-"+strconv.Itoa(i+1), z, service); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	var workers []*worker
	for i, d := range p.fleet.daemons {
		if err := d.start(); err != nil {
			return false, err
		}
		w, err := newWorker("i-sound-"+strconv.Itoa(i+1), service, d.zone, "127.0.0.1:0", time.Now().UnixMilli(), 20*time.Millisecond, p.runs)
		if err != nil {
			return false, err
		}
		go w.beat(d, stop)
		workers = append(workers, w)
	}
	started := time.Now()
	p.note("all daemons and workers are started")
	time.Sleep(foreignHeartbeat)
	if p.trouble {
		for i, d := range p.fleet.daemons {
			other := &worker{id: "x-" + strconv.Itoa(i+1)}
			_, status := other.send(d, http.MethodPut, foreignMessage(workers[i].address))
			p.note("another writer sends a heartbeat to %s: %s", d.name, status)
		}
	}
	time.Sleep(time.Until(started.Add(firstConfiguration)))
	p.fleet.store.put("config", "main", configuration(7))
	p.note("the operator writes the first configuration")
	time.Sleep(time.Until(started.Add(trafficStart)))
	for _, d := range p.fleet.daemons {
		p.note("%s is ready: %t", d.name, d.ready())
	}
	var wait sync.WaitGroup
	over := make(chan struct{})
	p.clients.traffic(p.fleet.daemons, http.MethodGet, "/s/book", 50*time.Millisecond, over, &wait)
	p.note("traffic starts")
	time.Sleep(20 * time.Second)
	close(over)
	wait.Wait()
	served := 0
	for _, s := range p.clients.list() {
		if s.status == http.StatusOK && s.err == "" {
			served++
		}
	}
	p.note("%d of %d requests were served", served, len(p.clients.list()))
	return served == 0, nil
}
