package spread

import "berylpass/fleet/member"

// Events that Update accepts.
type (
	// Tick tells that time has passed and names the daemons to tell of changes.
	// Joined tells that Peers are drawn from the store's list of daemons.
	Tick struct {
		Peers  []member.ID
		Joined bool
	}
	// Heard tells the revision in force at another daemon.
	Heard struct {
		Revision uint64
		From     member.ID
	}
	// StoreChanged tells that the store's configuration may be another one now.
	StoreChanged struct{}
	// Fetched tells that a Pull brought a verified configuration.
	Fetched struct{ Pull, Revision uint64 }
	// FetchFailed tells that a Pull brought none. Empty tells that the store
	// answered and holds no configuration, Refuted that the daemon answered with
	// none that can be verified.
	FetchFailed struct {
		Pull    uint64
		Empty   bool
		Refuted bool
	}
)

// Actions that Update returns.
type (
	// Pull asks to fetch and verify the configuration of a daemon, or of the store
	// if From is empty; Fetched or FetchFailed must follow.
	Pull struct {
		Pull uint64
		From member.ID
	}
	// Apply puts what a Pull brought in force.
	Apply struct{ Pull, Revision uint64 }
	// Notify tells daemons the revision in force here.
	Notify struct {
		To       []member.ID
		Revision uint64
	}
)
