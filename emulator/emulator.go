// Package emulator is a backend server for demonstrations, load and tests: it
// has slots, a cold start, a load report, drain, cancellation and deadlines, and
// it can be made to fail grayly while it runs.
//
// It is built on net/http, unlike the daemons, so that both ends of a connection
// are not the same implementation.
//
// # Usage
//
//	e, err := emulator.New("127.0.0.1:0", emulator.WithSlots(4), emulator.WithServiceTime(20*time.Millisecond))
//	e.SetFault(emulator.Fault{SlowFactor: 5})
//	e.Runs("request-17")
//	e.Close()
package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"berylpass/header"
)

// RequestHeader is the header by which Runs counts.
const RequestHeader = "X-Request-Id"

// Fault describes how a backend server misbehaves. The zero value is health.
type Fault struct {
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64
	// ErrorShare is the share of requests, from 0 to 1, answered with 500.
	ErrorShare float64
	// Deaf takes requests and never answers.
	Deaf bool
	// CutAnswers closes the connection in the middle of an answer.
	CutAnswers bool
}

// tailFactor is how many times as long a request of the tail takes.
const tailFactor = 3

// Emulator is a running backend server.
type Emulator struct {
	listener    net.Listener
	server      *http.Server
	slots       int
	serviceTime time.Duration
	cold        time.Duration
	clock       func() time.Time
	answerSize  int
	tailShare   float64

	inUse    atomic.Int64
	peak     atomic.Int64
	total    atomic.Int64
	keysSeen atomic.Int64

	mu      sync.Mutex
	random  *rand.Rand
	fault   Fault
	started time.Time
	secrets []string
	runs    map[string]int
	journal []Run
}

// Run is one request that ran.
type Run struct {
	At time.Time
	// Request is its RequestHeader.
	Request string
}

// Option changes how an emulator is set up.
type Option func(*Emulator)

// WithSlots sets how many requests run at once before it sheds.
func WithSlots(n int) Option { return func(e *Emulator) { e.slots = n } }

// WithServiceTime sets the median service time.
func WithServiceTime(d time.Duration) Option { return func(e *Emulator) { e.serviceTime = d } }

// WithColdStart sets the time after a start in which one request at once is all it bears.
func WithColdStart(d time.Duration) Option { return func(e *Emulator) { e.cold = d } }

// WithTailShare sets the share of requests, 0 to 1, that take three times as long; a hundredth by default.
func WithTailShare(share float64) Option { return func(e *Emulator) { e.tailShare = share } }

// WithSecrets names callers' keys that must never arrive here; KeysSeen counts those that do.
func WithSecrets(secrets ...string) Option { return func(e *Emulator) { e.secrets = secrets } }

// WithAnswerSize sets the size in bytes that an answer has at least.
func WithAnswerSize(bytes int) Option { return func(e *Emulator) { e.answerSize = bytes } }

// New listens on the address, host:port, and serves until Close.
func New(address string, options ...Option) (*Emulator, error) {
	e := &Emulator{
		slots:       4,
		serviceTime: 10 * time.Millisecond,
		tailShare:   0.01,
		clock:       time.Now,
		random:      rand.New(rand.NewPCG(1, 2)),
		runs:        map[string]int{},
	}
	for _, option := range options {
		option(e)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen as a backend server: %w", err)
	}
	e.listener = listener
	e.started = e.clock()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// Address returns host:port on which it listens.
func (e *Emulator) Address() string { return e.listener.Addr().String() }

// Slots returns how many requests run at once before it sheds.
func (e *Emulator) Slots() int { return e.slots }

// InUse returns how many requests run now.
func (e *Emulator) InUse() int { return int(e.inUse.Load()) }

// Peak returns the largest number of requests that ran at once.
func (e *Emulator) Peak() int { return int(e.peak.Load()) }

// Total returns how many requests have run.
func (e *Emulator) Total() int64 { return e.total.Load() }

// KeysSeen returns how many requests carried a caller's key.
func (e *Emulator) KeysSeen() int64 { return e.keysSeen.Load() }

// Runs returns how often the request with the given RequestHeader ran.
func (e *Emulator) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// AllRuns returns how often each request ran, by RequestHeader.
func (e *Emulator) AllRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.runs))
	for k, v := range e.runs {
		out[k] = v
	}
	return out
}

// Journal returns all runs of requests with a RequestHeader, in order of time.
func (e *Emulator) Journal() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.journal)
}

// SetFault makes it misbehave, or heals it, from the next request on.
func (e *Emulator) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Restart makes it cold again, as after an unannounced restart.
func (e *Emulator) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.started = e.clock()
}

// Close stops listening and cuts the open connections.
func (e *Emulator) Close() { _ = e.server.Close() }

// ServeHTTP runs one request.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.lookForKeys(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	inUse := e.inUse.Add(1)
	defer e.inUse.Add(-1)
	if int(inUse) > e.slots {
		w.Header().Set(header.NotRun, "1")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	e.notePeak(inUse)
	e.count(r)
	fault, took := e.plan(inUse)
	if !wait(r, took, fault.Deaf) {
		return
	}
	e.answer(w, r, fault, body)
}

func (e *Emulator) answer(w http.ResponseWriter, r *http.Request, fault Fault, body []byte) {
	if fault.ErrorShare > 0 && e.float() < fault.ErrorShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s request=%s body=%d\n", r.Method, r.URL.RequestURI(), r.Header.Get(RequestHeader), len(body))
	if pad := e.answerSize - len(text); pad > 0 {
		text += strings.Repeat(".", pad)
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if fault.CutAnswers {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// wait returns false if the request was cancelled or its deadline passed.
func wait(r *http.Request, took time.Duration, deaf bool) bool {
	if deaf {
		<-r.Context().Done()
		return false
	}
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Emulator) notePeak(inUse int64) {
	for {
		peak := e.peak.Load()
		if inUse <= peak || e.peak.CompareAndSwap(peak, inUse) {
			return
		}
	}
}

func (e *Emulator) count(r *http.Request) {
	e.total.Add(1)
	id := r.Header.Get(RequestHeader)
	if id == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id]++
	e.journal = append(e.journal, Run{At: e.clock(), Request: id})
}

// plan draws the service time: a uniform body with a slow tail, five times as slow when cold and overrun.
func (e *Emulator) plan(inUse int64) (Fault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	spread := 0.75 + 0.5*e.random.Float64()
	if e.random.Float64() < e.tailShare {
		spread *= tailFactor
	}
	took := time.Duration(float64(e.serviceTime) * spread)
	if e.clock().Sub(e.started) < e.cold && inUse > 1 {
		took *= time.Duration(5 * inUse)
	}
	if e.fault.SlowFactor > 0 {
		took = time.Duration(float64(took) * e.fault.SlowFactor)
	}
	return e.fault, took
}

func (e *Emulator) float() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

func (e *Emulator) lookForKeys(r *http.Request) {
	for _, values := range r.Header {
		for _, v := range values {
			for _, secret := range e.secrets {
				if strings.Contains(v, secret) {
					e.keysSeen.Add(1)
				}
			}
		}
	}
}
