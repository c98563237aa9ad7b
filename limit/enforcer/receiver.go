package enforcer

import (
	"berylpass/fleet/member"
	"berylpass/limit/pool"
	"berylpass/mesh"
)

// Borrow is the argument of Lend: it asks a holder for tokens of an organisation's limit.
type Borrow struct {
	Organisation string
	Tokens       int
	// Revision is the configuration revision of the daemon that asks, From its ID, and Limit the
	// limit that it has. Earlier builds state none of them.
	Revision uint64
	From     member.ID
	Limit    pool.Limit
}

// Lent is the reply of Lend.
type Lent struct {
	// Tokens is the number of tokens lent, from 0 to the number asked for.
	Tokens int
	// Level is the number of tokens left in the holder's share.
	Level float64
	// Holder reports whether the called daemon holds a share of the limit.
	Holder bool
	// Outdated reports whether the called daemon has another limit than the daemon that asks, from
	// an older configuration.
	Outdated bool
	// ID is the ID of the last token lent, for Renew.
	ID uint64
}

// Renewal is the argument of Renew: it asks the holder that issued a token to replace it.
type Renewal struct {
	Organisation string
	// ID is the ID of the token at the holder.
	ID uint64
}

// Renewed is the reply of Renew. OK reports whether the token was replaced, ID is the ID of the new one.
type Renewed struct {
	ID uint64
	OK bool
}

// maxBorrow bounds the tokens lent for one Borrow.
const maxBorrow = 64

// Receiver is the net/rpc receiver that serves other daemons. Register it on the mesh under
// ServiceName.
type Receiver struct{ enforcer *Enforcer }

// Receiver returns a net/rpc receiver for the enforcer.
func (e *Enforcer) Receiver() *Receiver { return &Receiver{enforcer: e} }

// Lend lends another daemon up to maxBorrow tokens of this daemon's share. Its error is ErrClosed.
func (r *Receiver) Lend(args Borrow, reply *Lent) (err error) {
	defer mesh.Recover(&err)
	e := r.enforcer
	defer func() {
		if reply.Outdated && e.options.HeardRevision != nil {
			e.options.HeardRevision(args.Revision, args.From)
		}
	}()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrClosed
	}
	now := e.options.Clock()
	limit, _, _ := e.pool.Describe(now, args.Organisation)
	reply.Outdated = e.revision < args.Revision && limit != args.Limit
	reply.Tokens, reply.Level, reply.Holder = e.pool.Lend(now, args.Organisation, min(max(args.Tokens, 0), maxBorrow))
	reply.ID = e.pool.LastIssued(args.Organisation)
	return nil
}

// Renew replaces a token that this daemon has lent.
func (r *Receiver) Renew(args Renewal, reply *Renewed) (err error) {
	defer mesh.Recover(&err)
	*reply = r.enforcer.renewOwn(args.Organisation, args.ID)
	return nil
}
