package guard

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"berylpass/caller/body"
	"berylpass/caller/memory/holder"
	"berylpass/choice/gate"
	"berylpass/choice/verdict"
	"berylpass/hop"
	"berylpass/leg"
)

// result says how an attempt ended.
type result struct {
	ending     hop.Ending
	reason     string
	retryAfter time.Duration
	answer     leg.Answer
	// waited is the time in the queue, took the time at the backend server.
	waited, took time.Duration
}

// ServeHTTP runs one forwarded request and answers with a hop.Report in the headers. A
// request without a valid envelope gets status 400; one whose body can't be read is dropped.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	envelope, err := hop.ReadEnvelope(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	whole, err := body.Read(r)
	if err != nil {
		return
	}
	request := leg.Request{
		Method: r.Method,
		Target: r.RequestURI,
		Host:   r.Host,
		Header: r.Header,
		Body:   whole,
	}
	answer, report := g.Run(r.Context(), envelope, request)
	write(w, answer, report)
}

// Run admits one attempt, runs it and reports its end to the observer. The answer is the
// backend server's if the report's ending is hop.Ran.
func (g *Guard) Run(ctx context.Context, e hop.Envelope, r leg.Request) (leg.Answer, hop.Report) {
	res := g.serve(ctx, e, r)
	g.Observer.AttemptHandled(AttemptRecord{
		Attempt: e.Attempt, RequestID: e.RequestID, Backend: e.Backend,
		Ending: res.ending, Reason: res.reason, Status: res.answer.Status,
		Waited: res.waited, Took: res.took,
		Revision: g.Configuration.Current().Revision, RetryAfter: res.retryAfter,
	})
	return res.answer, g.report(e, res)
}

// serve admits one attempt, waits for the gate's decision and runs it.
func (g *Guard) serve(ctx context.Context, e hop.Envelope, r leg.Request) result {
	now := g.Clock()
	g.Observer.HeardRevision(e.Revision, e.Attempt.Ingress)
	remaining := g.started.Add(milliseconds(e.Expires)).Sub(now)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	a, reason, ending := g.admit(now, e, cancel)
	if a == nil {
		g.Observer.Refused(reason)
		return result{ending: ending, reason: reason}
	}
	d := <-a.decisions
	waited := g.Clock().Sub(now)
	if !d.run {
		g.finish(g.Clock(), a, false, nil)
		g.Observer.Refused(d.reason)
		return result{ending: hop.NotRun, reason: d.reason, retryAfter: d.retryAfter, waited: waited}
	}
	res := g.run(ctx, a, r)
	res.waited = waited
	return res
}

// run runs an attempt to which the gate has given a slot on its backend server.
func (g *Guard) run(ctx context.Context, a *attempt, r leg.Request) result {
	release := &gate.Finished{ID: a.envelope.Attempt, Verdict: verdict.Cancelled}
	token, err := g.token(ctx, a.envelope)
	if err != nil {
		g.finish(g.Clock(), a, false, release)
		return g.refusalOf(err, a.envelope)
	}
	start := g.Clock()
	r.NotAfter = token.expires
	// Configuration and backend server may have changed until the connection is established.
	r.BeforeSend = func() error { return g.start(g.Clock(), a.envelope) }
	r.Reserve = func(bytes int64) error { return holder.Reserve(ctx, bytes) }
	r.Instance, r.Organisation, r.CallerService = string(a.envelope.Backend), a.envelope.Organisation, a.envelope.CallerService
	answer, err := g.Leg.Run(ctx, g.address(a.envelope), r)
	res := resultOfRun(answer, err)
	if errors.Is(err, errNotStarted) {
		g.Observer.Refused(res.reason)
	}
	if res.ending == hop.Unknown && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		res.reason = ReasonDeadlinePassed
	}
	res.took = g.Clock().Sub(start)
	token.settle(res.ending)
	finished := &gate.Finished{ID: a.envelope.Attempt, Verdict: g.verdict(start, verdictOf(ctx, res, err))}
	g.Versions.Ended(a.envelope.Attempt, finished.Verdict)
	g.finish(g.Clock(), a, res.ending != hop.NotRun, finished)
	return res
}

// address returns the address of the attempt's backend server, empty if it is unknown.
func (g *Guard) address(e hop.Envelope) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backends[e.Backend].Address
}

// resultOfRun returns the result of a run that the leg answered or failed.
func resultOfRun(answer leg.Answer, err error) result {
	var refused notStarted
	switch {
	case errors.As(err, &refused):
		return result{ending: hop.NotRun, reason: refused.reason}
	case errors.Is(err, leg.ErrNotSent):
		return result{ending: hop.NotRun, reason: ReasonNotSent}
	case err != nil:
		return result{ending: hop.Unknown, reason: ReasonBackendLost}
	case answer.OtherInstance:
		return result{ending: hop.NotRun, reason: ReasonOtherInstance}
	case answer.NotRun:
		return result{ending: hop.NotRun, reason: ReasonShed, retryAfter: answer.RetryAfter}
	}
	return result{ending: hop.Ran, answer: answer}
}

// verdict returns v, except that verdict.Error becomes verdict.Cancelled if a call made
// by a backend server on this VM has failed since start: the failed call, rather than the
// backend server itself, may be the cause of the error.
func (g *Guard) verdict(start time.Time, v verdict.Verdict) verdict.Verdict {
	if v == verdict.Error && g.LastFailedCall != nil && !g.LastFailedCall().Before(start) {
		return verdict.Cancelled
	}
	return v
}

// verdictOf returns what the end of a run says about the health of the backend server.
func verdictOf(ctx context.Context, res result, err error) verdict.Verdict {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Timeout
	case ctx.Err() != nil, errors.Is(err, errNotStarted), errors.Is(err, holder.ErrFull):
		return verdict.Cancelled
	case res.reason == ReasonShed:
		return verdict.Shed
	case err != nil:
		return verdict.Reset
	case res.answer.Status >= http.StatusInternalServerError:
		return verdict.Error
	}
	return verdict.OK
}

// write sends the report to the ingress, with the answer if the request ran, else with
// status 503.
func write(w http.ResponseWriter, answer leg.Answer, report hop.Report) {
	status := http.StatusServiceUnavailable
	if report.Ending == hop.Ran {
		status = answer.Status
		for name, values := range answer.Header {
			w.Header()[name] = values
		}
	}
	report.Write(w.Header())
	if len(answer.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(status)
	if report.Ending == hop.Ran {
		_, _ = w.Write(answer.Body)
	}
}

// report returns the report of an attempt to the ingress.
func (g *Guard) report(e hop.Envelope, res result) hop.Report {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := hop.Report{
		Attempt:     e.Attempt,
		Ending:      res.ending,
		Reason:      res.reason,
		RetryAfter:  res.retryAfter,
		Incarnation: g.ledger.Incarnation(),
		Clock:       now.Sub(g.started).Milliseconds(),
		Revision:    g.Configuration.Current().Revision,
		ServiceTime: res.took,
	}
	if load, ok := g.gate.Report(now, e.Backend); ok {
		out.Load = &load
	}
	if room, ok := g.gate.Room(now, e.Backend); ok {
		out.Room = &room
	}
	return out
}
