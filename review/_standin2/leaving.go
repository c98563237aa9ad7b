package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// drainBound is the bound "drain" of the deployment.
const drainBound = 2 * time.Second

// traffic sends requests through daemons until the returned function is called.
func (p *play) traffic(pause time.Duration, daemons ...*daemon) (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, d := range daemons {
		clients.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(pause):
					send(p.record, d, http.MethodPost, "/rounds/today")
				}
			}
		})
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

// runsAfter records the runs at a worker that began after a time, and returns their number.
func (p *play) runsAfter(w *worker, at time.Time) int {
	late := p.runs.list(func(r run) bool { return r.worker == w.id && r.at.After(at) })
	for _, r := range late {
		p.record.line("check", "DRAIN: %s reached %s %.3f s after the bound", r.id, r.worker, r.at.Sub(at).Seconds())
	}
	return len(late)
}

// lateHeartbeat lets a worker leave, start again under its id and leave again, and with trouble delivers the only
// heartbeat of its second incarnation late.
func lateHeartbeat(p *play) (bool, error) {
	const late, stays = 4 * time.Second, 14 * time.Second
	routes := object{"r-rounds": routeTo("rounds", "/rounds/", "unsafe", 1500*time.Millisecond)}
	if err := p.begin(configurationOf(7, routes, "rounds"), 100*time.Millisecond, kretowisko, "rounds", "rounds", "rounds", "rounds"); err != nil {
		return false, err
	}
	first := p.workers[0]
	defer p.traffic(50*time.Millisecond, p.fleet.daemons[1:]...)()
	time.Sleep(2 * time.Second)
	if !first.drain() {
		return false, errors.New("draining was not acknowledged")
	}
	time.Sleep(drainBound + 500*time.Millisecond)
	if !first.leave() {
		return false, errors.New("the first leaving was not acknowledged")
	}
	first.exit()
	time.Sleep(3 * time.Second)
	second, err := startWorker(p.record, p.runs, first.daemon, first.id, first.address, 100*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer second.exit()
	heartbeat := second.heartbeat()
	var delivery sync.WaitGroup
	defer delivery.Wait()
	if p.trouble {
		delivery.Go(func() {
			time.Sleep(late)
			p.record.line("link", "the heartbeat of %s arrives %s late: %d", second.id, late, second.call(http.MethodPut, heartbeat))
		})
	} else if status := second.call(http.MethodPut, heartbeat); status != http.StatusOK {
		return false, fmt.Errorf("the heartbeat is answered with %d", status)
	}
	time.Sleep(1300 * time.Millisecond)
	if !second.leave() {
		return false, errors.New("the second leaving was not acknowledged")
	}
	bound := time.Now().Add(drainBound)
	time.Sleep(stays)
	return p.runsAfter(second, bound) > 0, nil
}

// lostDepartures lets a worker leave, with trouble while the store is away, and delivers a heartbeat from before that
// late. With trouble all daemons are killed after the leaving is acknowledged, and the store is back before the heartbeat.
func lostDepartures(p *play) (bool, error) {
	const late, stays = 8 * time.Second, 16 * time.Second
	routes := object{"r-rounds": routeTo("rounds", "/rounds/", "unsafe", 1500*time.Millisecond)}
	if err := p.begin(configurationOf(7, routes, "rounds"), 100*time.Millisecond, kretowisko, "rounds", "rounds", "rounds", "rounds", "rounds", "rounds"); err != nil {
		return false, err
	}
	w := p.workers[0]
	defer p.traffic(50*time.Millisecond, p.fleet.daemons[1:]...)()
	time.Sleep(2 * time.Second)
	if p.trouble {
		p.fleet.store.setDown(true)
		time.Sleep(time.Second)
	}
	w.stopBeats()
	heartbeat := w.heartbeat()
	var delivery sync.WaitGroup
	defer delivery.Wait()
	delivery.Go(func() {
		time.Sleep(late)
		p.record.line("link", "the heartbeat of %s arrives %s late: %d", w.id, late, w.call(http.MethodPut, heartbeat))
	})
	if !w.leave() {
		return false, errors.New("the leaving was not acknowledged")
	}
	bound := time.Now().Add(drainBound)
	if p.trouble {
		time.Sleep(200 * time.Millisecond)
		p.fleet.kill(p.fleet.daemons...)
		time.Sleep(restartDelay)
		for _, d := range p.fleet.daemons {
			if err := p.fleet.start(d); err != nil {
				return false, err
			}
		}
		time.Sleep(1500 * time.Millisecond)
		p.fleet.store.setDown(false)
	}
	time.Sleep(stays)
	return p.runsAfter(w, bound) > 0, nil
}
