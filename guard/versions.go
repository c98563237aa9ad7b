package guard

import (
	"berylpass/attempt/id"
	"berylpass/choice/verdict"
	"berylpass/fleet/backend"
)

// ReasonVersion means that the backend server's version must not be used, or not now.
const ReasonVersion = "version-withheld"

// Versions decides which versions of a service may be used while it moves to a new one. Its methods
// must not block and must not call the guard.
type Versions interface {
	// Allows reports whether a backend server may get a request now.
	Allows(b backend.Backend) bool
	// Started is called right before a request is sent to a backend server, Ended when it is over.
	Started(attempt id.ID, b backend.Backend, route string)
	Ended(attempt id.ID, v verdict.Verdict)
}

// allVersions allows all versions.
type allVersions struct{}

func (allVersions) Allows(backend.Backend) bool            { return true }
func (allVersions) Started(id.ID, backend.Backend, string) {}
func (allVersions) Ended(id.ID, verdict.Verdict)           {}
