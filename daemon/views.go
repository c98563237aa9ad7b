package daemon

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"berylpass/config/revision"
	"berylpass/config/snapshot"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/fleet/membership"
	"berylpass/ingress"
)

// errLeaving is the reason why a daemon that shuts down takes no requests.
var errLeaving = errors.New("daemon is leaving")

// configurationView gives parts that start before the follower access to its configuration.
type configurationView struct {
	// follower is nil until it has been started.
	follower atomic.Pointer[revision.Follower]
	// leaving makes Daemon.Ready fail. It is set when the daemon starts to shut down or has been superseded.
	leaving atomic.Bool
	// closing is set once callers have had time to go elsewhere. Requests that still
	// arrive are refused at once, since they might not end within the shutdown grace.
	closing atomic.Bool
}

// fleetView gives parts that start before the membership access to it.
type fleetView struct {
	// members is nil until the membership has been started.
	members atomic.Pointer[membership.Membership]
}

// Members returns all known members, dead ones included; none before the membership has been started.
func (v *fleetView) Members() []member.Member {
	if m := v.members.Load(); m != nil {
		return m.Members()
	}
	return nil
}

// Backends returns the backend servers of a service; none before the membership has been started.
func (v *fleetView) Backends(service string) []backend.Backend {
	if m := v.members.Load(); m != nil {
		return m.Backends(service)
	}
	return nil
}

// RecordsRead reports whether the member records in the store have been read.
func (v *fleetView) RecordsRead() bool {
	m := v.members.Load()
	return m != nil && m.RecordsRead()
}

// Isolated reports whether this daemon may miss changes that others have received. It is
// true before the membership has been started.
func (v *fleetView) Isolated(now time.Time) bool {
	m := v.members.Load()
	return m == nil || m.Isolated(now)
}

var emptySnapshot = snapshot.New(0)

// Current returns the snapshot in force, an empty one before the follower has been started.
func (v *configurationView) Current() snapshot.Snapshot {
	if f := v.follower.Load(); f != nil {
		return f.Current()
	}
	return emptySnapshot
}

// Behind reports whether a newer configuration is known to exist.
func (v *configurationView) Behind(now time.Time) bool {
	f := v.follower.Load()
	return f != nil && f.Behind(now)
}

// ProvenNewest reports whether the configuration is known to be the newest one; see
// revision.Follower.ProvenNewest.
func (v *configurationView) ProvenNewest(now time.Time) bool {
	f := v.follower.Load()
	return f != nil && f.ProvenNewest(now)
}

// Ready returns nil if the daemon takes requests (Daemon.Ready tells the platform whether to
// send any), or else the reason, which wraps ingress.ErrNotReady. If it wraps
// revision.ErrIsolated too, the daemon refuses only requests with a key. A daemon that is
// leaving still takes requests, which the guards of other daemons run, until its callers have
// had time to go elsewhere.
func (v *configurationView) Ready(now time.Time) error {
	if v.closing.Load() {
		return fmt.Errorf("%w: %w", ingress.ErrNotReady, errLeaving)
	}
	f := v.follower.Load()
	if f == nil {
		return fmt.Errorf("%w: %w", ingress.ErrNotReady, revision.ErrNoConfiguration)
	}
	if err := f.Ready(now); err != nil {
		return fmt.Errorf("%w: %w", ingress.ErrNotReady, err)
	}
	return nil
}
