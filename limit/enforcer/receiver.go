package enforcer

import (
	"berylpass/decision"
	"berylpass/limit/limiter"
	"berylpass/limit/message"
)

// Receiver answers other daemons' limiters. Register it on the mesh under ServiceName.
type Receiver struct{ enforcer *Enforcer }

// Receiver returns the net/rpc receiver of the enforcer.
func (e *Enforcer) Receiver() *Receiver { return &Receiver{enforcer: e} }

// Ask answers a co-holder's ask for promises and loans.
func (r *Receiver) Ask(args message.Ask, reply *message.Asked) error {
	return answer(r.enforcer, limiter.AskArrived{Ask: args}, reply)
}

// Borrow lends tokens.
func (r *Receiver) Borrow(args message.Borrow, reply *message.Borrowed) error {
	return answer(r.enforcer, limiter.BorrowArrived{Borrow: args}, reply)
}

// Recall gives grants back.
func (r *Receiver) Recall(args message.Recall, reply *message.Return) error {
	return answer(r.enforcer, limiter.RecallArrived{Recall: args}, reply)
}

// Return takes grants back.
func (r *Receiver) Return(args message.Return, reply *message.Done) error {
	return answer(r.enforcer, limiter.ReturnArrived{Return: args}, reply)
}

// answer feeds an event whose first action is the reply.
func answer[T any](e *Enforcer, event decision.Event, reply *T) error {
	e.mu.Lock()
	actions := e.update(event)
	e.mu.Unlock()
	if len(actions) == 0 {
		return ErrClosed
	}
	if r, ok := actions[0].(limiter.Reply); ok {
		*reply, _ = r.Body.(T)
	}
	e.carryOut(actions[1:])
	return nil
}
