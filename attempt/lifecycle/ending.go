package lifecycle

import "time"

// answered ends the request with the answer. A repeatable request whose backend server
// failed is retried instead if another attempt is allowed, and an answer that carries
// another attempt's ID counts as lost.
func (l *Lifecycle) answered(now time.Time, e Answered) {
	a := l.attempt(e.Attempt)
	if a == nil || l.ended || a.progress == neverRuns || a.progress == failed {
		return
	}
	if e.ID != a.id {
		l.lost(now, e.Attempt)
		return
	}
	if !l.begin.Repeatable || !backendFailed(e.Status) {
		a.progress = won
		l.reply(Reply{Outcome: AnsweredOutcome, Attempt: a.id})
		return
	}
	a.progress = failed
	if l.count(inFlight) == 0 && l.mayPrepare(now) {
		l.prepare(RetryPurpose)
	}
	l.concludeIfDone()
}

// notRun records that attempt n has not run and never will, and returns or keeps its
// token. It prepares another attempt if retry is set and one is allowed.
func (l *Lifecycle) notRun(now time.Time, n uint8, retry bool) {
	a := l.attempt(n)
	if a == nil || a.progress == neverRuns || a.progress == failed {
		return
	}
	a.progress = neverRuns
	if l.ended {
		l.emit(ReturnToken{Count: 1})
		return
	}
	l.unusedTokens++
	if retry && l.count(inFlight) == 0 && l.mayPrepare(now) {
		l.prepare(RetryPurpose)
	}
	l.concludeIfDone()
}

// lost cancels attempt n, whose answer will not come, and retries a repeatable request at once.
func (l *Lifecycle) lost(now time.Time, n uint8) {
	a := l.attempt(n)
	if a == nil || a.progress != inFlight {
		return
	}
	l.setReason(ReasonAnswerLost, 0)
	l.cancel(a)
	if l.begin.Repeatable && l.count(inFlight) == 0 && l.mayPrepare(now) {
		l.prepare(RetryPurpose)
	}
}

func (l *Lifecycle) cancel(a *attempt) {
	a.progress = cancelling
	a.cancels++
	cancel := Cancel{ID: a.id, Guard: a.guard}
	if a.cancels > 1 {
		cancel.Pause = cancelRetryDelay
	}
	l.emit(cancel)
}

func (l *Lifecycle) cancelResult(now time.Time, e CancelResult) {
	a := l.attempt(e.Attempt)
	if a == nil || a.progress != cancelling {
		return
	}
	switch {
	case e.Certainty == NeverRuns:
		l.notRun(now, e.Attempt, true)
	case e.Certainty == Unreachable && a.cancels < maxCancelTries && !l.ended:
		l.cancel(a)
	default:
		a.progress = mayRun
		l.concludeIfDone()
	}
}

func (l *Lifecycle) timerFired(now time.Time, timer Timer) {
	switch {
	case l.ended:
	case timer == Hedge:
		if l.count(inFlight) == 1 && l.mayPrepare(now) {
			l.prepare(HedgePurpose)
		}
	case timer == Deadline && !l.deadlinePassed:
		l.deadlinePassed, l.preparing = true, false
		l.setReason(ReasonDeadlinePassed, 0)
		if l.count(failed) > 0 {
			l.conclude()
			return
		}
		l.cancelInFlight()
		l.emit(SetTimer{Timer: Grace, At: now.Add(CancelGrace)})
		l.concludeIfDone()
	case timer == Grace && l.deadlinePassed:
		l.conclude()
	}
}

func (l *Lifecycle) cancelInFlight() {
	for i := range l.attempts {
		if l.attempts[i].progress == inFlight {
			l.cancel(&l.attempts[i])
		}
	}
}

func (l *Lifecycle) callerLeft() {
	if l.ended {
		return
	}
	l.end()
}

// concludeIfDone replies to the caller if no attempt is in preparation, in flight or being cancelled.
func (l *Lifecycle) concludeIfDone() {
	if l.ended || l.preparing || l.count(inFlight)+l.count(cancelling) > 0 {
		return
	}
	l.conclude()
}

// conclude replies to the caller: with the answer of a failed attempt if there is one,
// else with not-run or unknown.
func (l *Lifecycle) conclude() {
	for _, a := range l.attempts {
		if a.progress == failed {
			l.reply(Reply{Outcome: AnsweredOutcome, Attempt: a.id})
			return
		}
	}
	outcome := UnknownOutcome
	if l.allNeverRun() {
		outcome = NotRunOutcome
	}
	l.reply(Reply{Outcome: outcome, Reason: l.reason, RetryAfter: l.retryAfter})
}

func (l *Lifecycle) reply(r Reply) {
	l.emit(r)
	l.end()
}

// end cancels the attempts in flight and returns the unused tokens.
func (l *Lifecycle) end() {
	l.ended, l.preparing = true, false
	l.cancelInFlight()
	if l.unusedTokens > 0 {
		l.emit(ReturnToken{Count: l.unusedTokens})
		l.unusedTokens = 0
	}
}

func (l *Lifecycle) attempt(n uint8) *attempt {
	if int(n) >= len(l.attempts) {
		return nil
	}
	return &l.attempts[n]
}
