package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() {
	cases["departure"] = func(r *record, trouble bool) (bool, error) { return departure(r, trouble, false) }
	cases["restart"] = func(r *record, trouble bool) (bool, error) { return departure(r, trouble, true) }
}

// departure lets a worker leave while the store is down and the daemon beside it is killed shortly after it has
// acknowledged the departure. One heartbeat from before the departure arrives seconds late. With turnedAway, the store is
// up when the worker leaves, and turns the daemon's machine away from shortly before the kill on.
func departure(r *record, trouble, turnedAway bool) (bool, error) {
	const (
		drain  = 2 * time.Second
		stable = 3 * time.Second
	)
	storeDown := 4500 * time.Millisecond
	if turnedAway {
		storeDown = 9 * time.Second
	}
	s := newStore()
	s.put("config", "main", configuration("r7"))
	a, b := newMachine(1, "zone-a", "rounds", s, r), newMachine(2, "zone-b", "rounds", s, r)
	c := newMachine(3, "zone-b", "rounds", s, r)
	all := []*machine{a, b, c}
	for _, m := range all {
		m.start()
	}
	waitReady(10*time.Second, all...)
	leaving, staying, third := newWorker("i-leaving", a, r), newWorker("i-staying", b, r), newWorker("i-third", c, r)
	var mu sync.Mutex
	sentAt, ranAt := map[string]time.Time{}, map[string]time.Time{}
	// takenBy is the machine to which a client sent a request.
	takenBy := map[string]*machine{}
	leaving.serve = func(c net.Conn, q *http.Request, body []byte) bool {
		mu.Lock()
		ranAt[q.Header.Get("X-Berylpass-Attempt-Id")] = time.Now()
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return leaving.answer(c, q, []byte("ok\n"))
	}
	go leaving.beat()
	go staying.beat()
	go third.beat()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range all {
		callers := newClients(m)
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				wait.Go(func() {
					now := time.Now()
					out := callers.do("GET", "/lookup/2f", theKey, 2500*time.Millisecond, nil)
					mu.Lock()
					defer mu.Unlock()
					sentAt[out.id], takenBy[out.id] = now, m
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	r.log("before the departure: %d requests have run on %s", len(ranAt), leaving.id)
	mu.Unlock()
	begin := time.Now()
	if trouble && !turnedAway {
		r.log("the platform's store is down for %v: it answers 503", storeDown)
		for _, m := range all {
			m.door.closed.Store(true)
		}
	}
	leaving.stopBeating()
	time.Sleep(100 * time.Millisecond)
	late := leaving.message("ready", "0ms")
	r.log("%s sends a heartbeat (ready), which arrives seconds late", leaving.id)
	time.Sleep(400 * time.Millisecond)
	born := []byte(`{"born":` + strconv.FormatInt(leaving.born, 10) + `}`)
	status := leaving.send(http.MethodDelete, born)
	acked := time.Now()
	r.log("%s sends DELETE, without reporting draining first; the daemon answers %d", leaving.id, status)
	if status != http.StatusOK {
		// Without an acknowledgement nothing is promised.
		return false, nil
	}
	time.Sleep(time.Until(begin.Add(1300 * time.Millisecond)))
	if trouble && turnedAway {
		r.log("the platform's store turns %s away for %v: it answers it 503; it serves all others", a.name, storeDown)
		a.door.closed.Store(true)
	}
	storeBack := begin.Add(storeDown)
	if turnedAway {
		storeBack = time.Now().Add(storeDown)
	}
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	if trouble {
		a.kill()
	}
	restarted := time.Now().Add(500 * time.Millisecond)
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	r.log("the late heartbeat arrives, %v after it was sent; the daemon answers %d", 3900*time.Millisecond, leaving.send(http.MethodPut, late))
	time.Sleep(time.Until(storeBack))
	for _, m := range all {
		m.door.closed.Store(false)
	}
	r.log("the platform's store is up for all")
	inTouch := storeBack.Add(stable)
	time.Sleep(time.Until(begin.Add(16 * time.Second)))
	close(stop)
	wait.Wait()
	r.log("%s exits, %v after its acknowledgement", leaving.id, time.Since(acked).Round(time.Millisecond))
	mu.Lock()
	defer mu.Unlock()
	broken, bound, others := 0, 0, 0
	for id, at := range ranAt {
		sent, ok := sentAt[id]
		if !ok || at.Before(acked.Add(drain)) {
			continue
		}
		if sent.After(inTouch) {
			broken++
			if broken <= 5 {
				r.log("request %s, sent %v after the acknowledgement, reached %s %v after it", id, sent.Sub(acked).Round(time.Millisecond), leaving.id, at.Sub(acked).Round(time.Millisecond))
			}
			continue
		}
		// The machine that has acknowledged is bound also while the store is in disruption.
		if takenBy[id] == a && sent.After(restarted.Add(stable)) {
			bound++
			continue
		}
		others++
	}
	r.log("%d requests sent by machines in touch reached %s later than %v after the acknowledgement of its leaving ", broken, leaving.id, drain)
	r.log("%d more were taken and sent on, while the store was in disruption, by the machine that had acknowledged, %v and more after its restart; %d more at other times", bound, stable, others)
	return broken+bound > 0, nil
}
