package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is how long the platform leaves a process after a SIGTERM.
	grace = 6 * time.Second
	// againAfter is the time between the two signals.
	againAfter = 500 * time.Millisecond
	// longWork is how long a worker is at work on a request, below the timeout of the route.
	longWork = 900 * time.Millisecond
)

// playAgain stops a daemon as the platform does, and repeats the SIGTERM half a second later.
func playAgain(p *play) (broken bool, err error) {
	if err := p.startFleet("poznan-a", "poznan-b", "kalisz"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for i, d := range p.fleet.daemons {
		w, err := newWorker("i-sound-"+d.name, service, d.zone, "127.0.0.1:0", time.Now().UnixMilli(), longWork, p.runs)
		if err != nil {
			return false, err
		}
		if i == 0 {
			// The worker beside the daemon that is stopped has ended before it.
			w.stop()
			continue
		}
		w.slots = 40
		go w.beat(d, stop)
	}
	time.Sleep(stableWindow)
	stopped := p.fleet.daemons[0]
	var wait sync.WaitGroup
	over := make(chan struct{})
	p.clients.traffic([]*daemon{stopped}, http.MethodPost, "/u/book", 50*time.Millisecond, over, &wait)
	time.Sleep(2 * time.Second)
	close(over)
	first := time.Now()
	stopped.signal(syscall.SIGTERM)
	p.note("%s gets SIGTERM", stopped.name)
	time.Sleep(againAfter)
	if p.trouble {
		stopped.signal(syscall.SIGTERM)
		p.note("%s gets SIGTERM again", stopped.name)
	}
	wait.Wait()
	ran := map[string]bool{}
	for _, r := range p.runs.list() {
		ran[r.attempt] = true
	}
	lost := 0
	for _, s := range p.clients.list() {
		if s.err == "" || !ran[s.attempt] || s.at.After(first) || s.ended.Before(first) || s.ended.After(first.Add(grace*5/6)) {
			continue
		}
		if lost++; lost == 1 {
			p.note("the client of %s got no answer", s.attempt)
		}
	}
	p.note("%d requests sent before the first SIGTERM and passed on to a worker ended without an answer", lost)
	return lost > 3, nil
}
