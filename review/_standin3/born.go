package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// clockJump is by how much the time of day of the worker's machine is ahead for a while.
	clockJump = 2400 * time.Millisecond
	// flapGap is the time between two starts of a worker that goes down and up by turns.
	flapGap = 1400 * time.Millisecond
)

// bornMachines is the number of machines. One of them, and its worker, are a tenth: the share of workers that go down
// and up in the site file.
const bornMachines = 10

// playBorn restarts a worker under its ID, right after the time of day of its machine has jumped back, and lets it
// drain later.
func playBorn(p *play) (broken bool, err error) {
	zones := []string{"poznan-a", "poznan-b", "kalisz", "konin"}
	var machines []string
	for i := range bornMachines {
		machines = append(machines, zones[i%len(zones)])
	}
	if err := p.startFleet(machines...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if err := p.startWorkers(stop); err != nil {
		return false, err
	}
	machine := p.fleet.daemons[0]
	ahead := time.Duration(0)
	if p.trouble {
		ahead = clockJump
		p.note("the time of day of %s is %s ahead", machine.name, clockJump)
	}
	first, err := newWorker("i-7f3a91c2", service, machine.zone, "127.0.0.1:0", time.Now().Add(ahead).UnixMilli(), 20*time.Millisecond, p.runs)
	if err != nil {
		return false, err
	}
	_, status := first.send(machine, http.MethodPut, first.message())
	p.note("%s has started, born %d, and reports ready: %s", first.id, first.born, status)
	time.Sleep(flapGap / 2)
	first.stop()
	if p.trouble {
		p.note("the time of day of %s jumps back", machine.name)
	}
	p.note("%s crashes", first.id)
	time.Sleep(flapGap / 2)
	second, err := newWorker(first.id, service, machine.zone, first.address, time.Now().UnixMilli(), 20*time.Millisecond, p.runs)
	if err != nil {
		return false, err
	}
	defer second.stop()
	_, status = second.send(machine, http.MethodPut, second.message())
	p.note("%s has started again under its ID, born %d, and reports ready: %s", second.id, second.born, status)
	beating := make(chan struct{})
	go second.beat(machine, beating)

	var wait sync.WaitGroup
	over := make(chan struct{})
	p.clients.traffic(p.fleet.daemons, http.MethodPost, "/u/book", 20*time.Millisecond, over, &wait)
	time.Sleep(stableWindow + 3*time.Second)
	close(beating)
	second.setState("draining")
	acknowledged, status := second.send(machine, http.MethodPut, second.message())
	left := time.Now()
	p.note("%s reports draining: %s", second.id, status)
	draining := make(chan struct{})
	go second.beat(machine, draining)
	time.Sleep(drain + 4*time.Second)
	close(draining)
	close(over)
	wait.Wait()
	if !acknowledged {
		p.note("the daemon has not acknowledged it")
		return false, nil
	}
	late := p.lateRuns(second.id, left.Add(drain))
	p.note("%s got %d requests later than %s after the acknowledgement", second.id, late, drain)
	return late > 0, nil
}
