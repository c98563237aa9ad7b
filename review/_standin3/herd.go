package main

import (
	"net/http"
	"sync"
	"time"
)

// storeOutage is how long the store refuses all machines.
const storeOutage = 4500 * time.Millisecond

// playHerd lets a worker leave while the store is down, kills all daemons at that time, and delivers a heartbeat from
// before the departure some seconds late.
func playHerd(p *play) (broken bool, err error) {
	if err := p.startFleet("poznan-a", "poznan-b", "kalisz", "konin", "poznan-a"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if err := p.startWorkers(stop); err != nil {
		return false, err
	}
	machine := p.fleet.daemons[0]
	leaving, err := newWorker("i-7f3a91c2", service, machine.zone, "127.0.0.1:0", time.Now().UnixMilli(), 20*time.Millisecond, p.runs)
	if err != nil {
		return false, err
	}
	defer leaving.stop()
	beating := make(chan struct{})
	go leaving.beat(machine, beating)
	var wait sync.WaitGroup
	over := make(chan struct{})
	p.clients.traffic(p.fleet.daemons, http.MethodPost, "/u/book", 20*time.Millisecond, over, &wait)
	time.Sleep(stableWindow)

	if p.trouble {
		p.fleet.store.down.Store(true)
		p.note("the store is down")
	}
	time.Sleep(500 * time.Millisecond)
	late := leaving.message()
	p.note("%s sends a heartbeat, ready, which is delayed", leaving.id)
	close(beating)
	time.Sleep(100 * time.Millisecond)
	acknowledged, status := leaving.send(machine, http.MethodDelete, leaving.message())
	left := time.Now()
	p.note("%s announces that it leaves: %s", leaving.id, status)
	time.Sleep(400 * time.Millisecond)
	if p.trouble {
		for _, d := range p.fleet.daemons {
			d.kill()
		}
		p.note("all daemons are killed")
	}
	time.Sleep(time.Second)
	if p.trouble {
		for _, d := range p.fleet.daemons {
			if err := d.start(); err != nil {
				return false, err
			}
		}
		p.note("all daemons are started")
	}
	time.Sleep(storeOutage - 2*time.Second)
	p.fleet.store.down.Store(false)
	p.note("the store answers")
	_, status = leaving.send(machine, http.MethodPut, late)
	p.note("the delayed heartbeat arrives: %s", status)
	time.Sleep(stableWindow + 4*time.Second)
	close(over)
	wait.Wait()
	if !acknowledged {
		p.note("the daemon has not acknowledged it")
		return false, nil
	}
	judged := left.Add(storeOutage + stableWindow)
	n := p.lateRuns(leaving.id, judged)
	p.note("%s got %d requests later than %s after the acknowledgement", leaving.id, n, judged.Sub(left))
	return n > 0, nil
}
