package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The additional bytes that the worker in trouble sends after a complete answer. They name no request.
const (
	// extraHealth has the form of a response to a health check.
	extraHealth = "HTTP/1.1 200 OK\r\nX-Berylpass-Instance-Id: i-7f3a91c2\r\nContent-Length: 3\r\n\r\nok\n"
	// extraRejection has the form of a response to a request that came without an ID.
	extraRejection = "HTTP/1.1 400 Bad Request\r\nX-Berylpass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

const (
	// troubleTime is how long the worker in trouble sends additional bytes.
	troubleTime = 5 * time.Second
	// troubleEach is how many answers of the worker in trouble come between two that additional bytes follow.
	troubleEach = 34
)

// playExtra lets one worker of three send additional bytes after some of its complete answers. They arrive late, where
// the next answer is expected.
func playExtra(p *play, extra string) error {
	if err := p.startFleet("poznan-a", "poznan-b", "kalisz"); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	if err := p.startWorkers(stop); err != nil {
		return err
	}
	machine := p.fleet.daemons[0]
	var faulty *rawWorker
	var mu sync.Mutex
	answers, inTrouble := 0, false
	faulty, err := newRawWorker("i-7f3a91c2", service, machine.zone, p.runs, func(c net.Conn, n int, r *http.Request) {
		mu.Lock()
		answers++
		due := inTrouble && n > 0 && answers >= troubleEach
		if due {
			answers = 0
		}
		mu.Unlock()
		if due {
			p.note("the worker in trouble sends additional bytes where its answer to %s is expected", r.Header.Get("X-Berylpass-Attempt-Id"))
			_, _ = io.WriteString(c, extra)
		}
		time.Sleep(20 * time.Millisecond)
		faulty.answerTo(c, r)
	})
	if err != nil {
		return err
	}
	defer func() { _ = faulty.listener.Close() }()
	go faulty.beat(machine, stop)
	var wait sync.WaitGroup
	over := make(chan struct{})
	p.clients.traffic(p.fleet.daemons, http.MethodPost, "/u/book", 8*time.Millisecond, over, &wait)
	turn := func(trouble bool, length time.Duration) {
		mu.Lock()
		answers, inTrouble = 0, trouble && p.trouble
		mu.Unlock()
		time.Sleep(length)
	}
	turn(false, 4*time.Second)
	turn(true, troubleTime)
	turn(false, 4*time.Second)
	close(over)
	wait.Wait()
	return nil
}

// playMixed counts successes without a worker's stamp.
func playMixed(p *play) (broken bool, err error) {
	if err := playExtra(p, extraHealth); err != nil {
		return false, err
	}
	wrong := 0
	for _, s := range p.clients.list() {
		if s.status/100 == 2 && s.stamp == "" {
			if wrong++; wrong == 1 {
				p.note("the client of %s got %d without a stamp", s.attempt, s.status)
			}
		}
	}
	p.note("%d of %d requests got a success without a stamp", wrong, len(p.clients.list()))
	return wrong > 0, nil
}

// playTwice counts requests that ran more than once.
func playTwice(p *play) (broken bool, err error) {
	if err := playExtra(p, extraRejection); err != nil {
		return false, err
	}
	times := map[string]int{}
	for _, r := range p.runs.list() {
		times[r.attempt]++
	}
	twice, refused := 0, 0
	for attempt, n := range times {
		if n > 1 {
			if twice++; twice == 1 {
				p.note("%s ran %d times", attempt, n)
			}
		}
	}
	for _, s := range p.clients.list() {
		if (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) && times[s.attempt] > 0 {
			refused++
		}
	}
	p.note("of %d requests %d ran more than once, %d were refused and had run", len(p.clients.list()), twice, refused)
	return twice > 0, nil
}
