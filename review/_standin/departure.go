package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["departure"] = departure }

// departure lets a worker leave while the store is down and the daemon beside it is killed shortly after it has
// acknowledged the departure. One heartbeat from before the departure arrives seconds late.
func departure(r *record, trouble bool) (bool, error) {
	const (
		storeDown = 4500 * time.Millisecond
		drain     = 2 * time.Second
		stable    = 3 * time.Second
	)
	s := newStore()
	s.put("config", "main", configuration("r7"))
	a, b := newMachine(1, "zone-a", "rounds", s, r), newMachine(2, "zone-b", "rounds", s, r)
	a.start()
	b.start()
	waitReady(10*time.Second, a, b)
	leaving, staying := newWorker("i-leaving", a, r), newWorker("i-staying", b, r)
	var mu sync.Mutex
	sentAt, ranAt := map[string]time.Time{}, map[string]time.Time{}
	leaving.serve = func(c net.Conn, q *http.Request, body []byte) bool {
		mu.Lock()
		ranAt[q.Header.Get("X-Berylpass-Attempt-Id")] = time.Now()
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return leaving.answer(c, q, []byte("ok\n"))
	}
	go leaving.beat()
	go staying.beat()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, m := range []*machine{a, b} {
		c := newClients(m)
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				wait.Go(func() {
					now := time.Now()
					out := c.do("GET", "/lookup/2f", theKey, 2500*time.Millisecond, nil)
					mu.Lock()
					defer mu.Unlock()
					sentAt[out.id] = now
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	mu.Lock()
	r.log("before the departure: %d requests have run on %s", len(ranAt), leaving.id)
	mu.Unlock()
	begin := time.Now()
	if trouble {
		r.log("the platform's store is down for %v: it answers 503", storeDown)
		a.door.closed.Store(true)
		b.door.closed.Store(true)
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
	time.Sleep(time.Until(begin.Add(1500 * time.Millisecond)))
	if trouble {
		a.kill()
	}
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	r.log("the late heartbeat arrives, %v after it was sent; the daemon answers %d", 3900*time.Millisecond, leaving.send(http.MethodPut, late))
	time.Sleep(time.Until(begin.Add(storeDown)))
	a.door.closed.Store(false)
	b.door.closed.Store(false)
	r.log("the platform's store is up")
	inTouch := begin.Add(storeDown + stable)
	time.Sleep(time.Until(begin.Add(16 * time.Second)))
	close(stop)
	wait.Wait()
	r.log("%s exits, %v after its acknowledgement", leaving.id, time.Since(acked).Round(time.Millisecond))
	mu.Lock()
	defer mu.Unlock()
	broken, others := 0, 0
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
		} else {
			others++
		}
	}
	r.log("%d requests sent by machines in touch reached %s later than %v after the acknowledgement of its leaving (%d more while a machine was out of touch)", broken, leaving.id, drain, others)
	return broken > 0, nil
}
