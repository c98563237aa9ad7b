package enforcer

import (
	"context"
	"time"

	"berylpass/limit/limiter"
)

// Draw takes a token for one dispatch. With a token in hand it costs no message;
// otherwise it waits for a holder, up to MaxLeaseWait for one that can be reached, and up to MaxWait for the organisation's next
// token. Errors: a *Refusal, the error of ctx, or ErrClosed; in all cases nothing may run.
func (e *Enforcer) Draw(ctx context.Context, organisation string) (Token, error) {
	start := time.Time{}
	for again := false; ; again = true {
		e.mu.Lock()
		if e.closed {
			e.mu.Unlock()
			return Token{}, ErrClosed
		}
		now := e.options.Clock()
		if !again {
			start = now
		}
		token, verdict, retryAfter := e.core.Draw(now, organisation, again)
		if verdict == limiter.Drawn {
			e.mu.Unlock()
			return token, nil
		}
		refusal := &Refusal{Organisation: organisation, Reason: reason(verdict), RetryAfter: retryAfter}
		tooLong := verdict != limiter.Waiting && now.Sub(start)+retryAfter > maxWait(verdict)
		if tooLong || e.waiters[organisation] >= maxWaiters {
			e.mu.Unlock()
			return Token{}, refusal
		}
		if err := e.pause(ctx, organisation, verdict, retryAfter); err != nil {
			return Token{}, err
		}
	}
}

// maxWait returns how long a draw goes on trying. The loss of a holder passes by
// itself, so it is worth a longer wait than an empty bucket.
func maxWait(v limiter.Verdict) time.Duration {
	if v == limiter.NoLease {
		return MaxLeaseWait
	}
	return MaxWait
}

func reason(v limiter.Verdict) error {
	if v == limiter.NoLease {
		return ErrNoLease
	}
	return ErrOverLimit
}

// pause is called with the lock held, and releases it. It waits until the organisation
// is settled, or for a refused draw until it is time to try again.
func (e *Enforcer) pause(ctx context.Context, organisation string, verdict limiter.Verdict, retryAfter time.Duration) error {
	e.waiters[organisation]++
	ch, ok := e.settled[organisation]
	if !ok {
		ch = make(chan struct{})
		e.settled[organisation] = ch
	}
	var retry <-chan time.Time
	if verdict == limiter.Waiting {
		actions := e.update(limiter.Flush{})
		e.mu.Unlock()
		e.carryOut(actions)
	} else {
		e.mu.Unlock()
		timer := time.NewTimer(retryAfter)
		defer timer.Stop()
		retry = timer.C
	}
	var err error
	select {
	case <-ch:
	case <-retry:
	case <-ctx.Done():
		err = ctx.Err()
	case <-e.ctx.Done():
		err = ErrClosed
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiters[organisation]--; e.waiters[organisation] == 0 {
		delete(e.waiters, organisation)
	}
	return err
}
