package meshkey

import (
	"crypto/tls"
	"sync/atomic"
)

// sessions is a cache for one TLS session, the last one. Any daemon of the fleet can resume a session with any
// other, because the keys of the session tickets are derived from the secrets that they share. So a daemon needs
// one full handshake with its two signatures, and not one for each other daemon of a large fleet.
type sessions struct {
	last atomic.Pointer[tls.ClientSessionState]
}

// Get implements tls.ClientSessionCache.
func (s *sessions) Get(string) (*tls.ClientSessionState, bool) {
	last := s.last.Load()
	return last, last != nil
}

// Put implements tls.ClientSessionCache. crypto/tls passes nil to remove a session that it can't use.
func (s *sessions) Put(_ string, session *tls.ClientSessionState) { s.last.Store(session) }

// ticketKeys returns the keys of the session tickets for one purpose: the first encrypts, all decrypt. A ticket from
// before a rotation is refused with its secret, and the peer's certificate in a ticket is verified at each resumption.
func (k *MeshKey) ticketKeys(purpose string) [][32]byte {
	keys := make([][32]byte, 0, len(k.secrets))
	for _, secret := range k.secrets {
		keys = append(keys, [32]byte(derive(secret, "tickets-"+purpose)))
	}
	return keys
}

const (
	// controlTickets and dataTickets are the purposes of ticket keys. They differ because crypto/tls and nbio's
	// event loops use different formats of tickets.
	controlTickets = "control"
	dataTickets    = "data"
)
