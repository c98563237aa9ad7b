package journey

import "time"

func (j *Journey) answered(now time.Time, e Answered) {
	a := j.attempt(e.Attempt)
	if a == nil || j.ended || a.progress == neverRuns || a.progress == failed {
		return
	}
	if e.ID != a.id {
		j.lost(now, e.Attempt)
		return
	}
	if !j.begin.Repeatable || !badGateway(e.Status) {
		a.progress = won
		j.reply(Reply{Outcome: AnsweredOutcome, Attempt: a.id})
		return
	}
	a.progress = failed
	if j.count(inFlight) == 0 && j.mayPrepare(now) {
		j.prepare(Retry)
	}
	j.settle()
}

// notRun takes it as certain that the attempt has not run and never will.
func (j *Journey) notRun(now time.Time, n uint8, again bool) {
	a := j.attempt(n)
	if a == nil || a.progress == neverRuns || a.progress == failed {
		return
	}
	a.progress = neverRuns
	if j.ended {
		j.emit(ReturnToken{Count: 1})
		return
	}
	j.held++
	if again && j.count(inFlight) == 0 && j.mayPrepare(now) {
		j.prepare(Retry)
	}
	j.settle()
}

func (j *Journey) lost(now time.Time, n uint8) {
	a := j.attempt(n)
	if a == nil || a.progress != inFlight {
		return
	}
	j.note(ReasonLost, 0)
	j.cancel(a)
	if j.begin.Repeatable && j.count(inFlight) == 0 && j.mayPrepare(now) {
		j.prepare(Retry)
	}
}

func (j *Journey) cancel(a *attempt) {
	a.progress = asked
	a.asked++
	j.emit(Cancel{ID: a.id, Guard: a.guard})
}

func (j *Journey) cancelResult(now time.Time, e CancelResult) {
	a := j.attempt(e.Attempt)
	if a == nil || a.progress != asked {
		return
	}
	switch {
	case e.Certainty == NeverRuns:
		j.notRun(now, e.Attempt, true)
	case e.Certainty == Unreachable && a.asked < cancelTries && !j.ended:
		j.cancel(a)
	default:
		a.progress = mayRun
		j.settle()
	}
}

func (j *Journey) timerFired(now time.Time, timer Timer) {
	switch {
	case j.ended:
	case timer == Hedge:
		if j.count(inFlight) == 1 && j.mayPrepare(now) {
			j.prepare(HedgePurpose)
		}
	case timer == Deadline && !j.closing:
		j.closing, j.preparing = true, false
		j.note(ReasonDeadline, 0)
		if j.count(failed) > 0 {
			j.conclude()
			return
		}
		j.cancelInFlight()
		j.emit(SetTimer{Timer: Grace, At: now.Add(CancelGrace)})
		j.settle()
	case timer == Grace && j.closing:
		j.conclude()
	}
}

func (j *Journey) cancelInFlight() {
	for i := range j.attempts {
		if j.attempts[i].progress == inFlight {
			j.cancel(&j.attempts[i])
		}
	}
}

func (j *Journey) callerLeft() {
	if j.ended {
		return
	}
	j.end()
}

// settle concludes once nothing is awaited any more.
func (j *Journey) settle() {
	if j.ended || j.preparing || j.count(inFlight)+j.count(asked) > 0 {
		return
	}
	j.conclude()
}

// conclude replies with what is known now.
func (j *Journey) conclude() {
	for _, a := range j.attempts {
		if a.progress == failed {
			j.reply(Reply{Outcome: AnsweredOutcome, Attempt: a.id})
			return
		}
	}
	outcome := UnknownOutcome
	if j.allNeverRun() {
		outcome = NotRunOutcome
	}
	j.reply(Reply{Outcome: outcome, Reason: j.reason, RetryAfter: j.after})
}

func (j *Journey) reply(r Reply) {
	j.emit(r)
	j.end()
}

// end cancels what is under way and gives back the tokens that were not used.
func (j *Journey) end() {
	j.ended, j.preparing = true, false
	j.cancelInFlight()
	if j.held > 0 {
		j.emit(ReturnToken{Count: j.held})
		j.held = 0
	}
}

func (j *Journey) attempt(n uint8) *attempt {
	if int(n) >= len(j.attempts) {
		return nil
	}
	return &j.attempts[n]
}
