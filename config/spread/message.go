package spread

import "berylpass/fleet/member"

// Events that Update accepts.
type (
	// Tick lets time pass. Peers are the daemons to notify of changes, the neighbours of
	// package roster; RecordsRead is true once the member records in the store have been
	// read.
	Tick struct {
		Peers       []member.ID
		RecordsRead bool
	}
	// Heard states the revision in force at another daemon.
	Heard struct {
		Revision uint64
		From     member.ID
	}
	// StoreChanged means that the store's configuration may have changed.
	StoreChanged struct{}
	// Fetched means that the Pull with this number fetched a verified configuration.
	Fetched struct{ Number, Revision uint64 }
	// FetchFailed means that the Pull with this number fetched none. Empty is true if the
	// store answered and holds no configuration, Invalid if the daemon answered without
	// a configuration that passes verification.
	FetchFailed struct {
		Number  uint64
		Empty   bool
		Invalid bool
	}
)

// Actions that Update returns.
type (
	// Pull asks to fetch and verify the configuration of a daemon, or of the store if From
	// is empty. Exactly one Fetched or FetchFailed with the same Number must follow.
	Pull struct {
		Number uint64
		From   member.ID
	}
	// Apply asks to put in force the revision that the Pull with this number fetched.
	Apply struct{ Number, Revision uint64 }
	// Notify asks to send the revision in force here to other daemons.
	Notify struct {
		To       []member.ID
		Revision uint64
	}
)
