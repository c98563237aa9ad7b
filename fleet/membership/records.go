package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"berylpass/decision"
	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/store/object"
)

// Timeouts and pauses of calls to the store.
const (
	// storeBackoff is the delay after the first failed call; it doubles with each
	// further failure.
	storeBackoff = time.Second
	// maxStoreBackoff is the maximum delay after a failed call.
	maxStoreBackoff = 15 * time.Second
	// storeTimeout is the timeout of one attempt to write, remove, check or list records.
	storeTimeout = 5 * time.Second
	// watchPause is the pause after a watch has returned, so that the next one returns
	// the changes of many daemons that start at once in a single call. In the meantime
	// daemons gossip the changes among themselves. It can't be much longer because a
	// member record that the store lost must be back within 2 s.
	watchPause = 500 * time.Millisecond
)

// pendingRecords is the work that remains to be done on the store's member records.
type pendingRecords struct {
	// versionKnown reports whether version is the object version of the daemon's own
	// record. Only recordLoop uses these two fields.
	versionKnown bool
	version      uint64
	// write is this daemon's record to be written, nil for none.
	write *roster.Record
	// deletes are the incarnations up to which the members' records are to be removed.
	deletes map[member.ID]uint64
	// idle is closed while nothing remains to be done.
	idle chan struct{}
}

func newPendingRecords(versionKnown bool, version uint64) pendingRecords {
	p := pendingRecords{versionKnown: versionKnown, version: version,
		deletes: map[member.ID]uint64{}, idle: make(chan struct{})}
	close(p.idle)
	return p
}

func (p *pendingRecords) empty() bool { return p.write == nil && len(p.deletes) == 0 }

// markPending replaces idle by an open channel if it is closed.
func (p *pendingRecords) markPending() {
	select {
	case <-p.idle:
		p.idle = make(chan struct{})
	default:
	}
}

// handleStoreAction queues or starts the store operation that the roster asks for; the
// caller holds the lock.
func (m *Membership) handleStoreAction(action decision.Action) {
	switch a := action.(type) {
	case roster.WriteRecord:
		m.pending.write = &a.Record
		m.pending.markPending()
		signal(m.recordSignal)
	case roster.DeleteRecord:
		if a.ID == m.roster.Self() {
			m.pending.write = nil
		}
		m.pending.deletes[a.ID] = a.Incarnation
		m.pending.markPending()
		signal(m.recordSignal)
	case roster.WatchStore:
		m.watchRequested = a.Watch
		signal(m.watchSignal)
	case roster.CheckStore:
		if !m.options.withoutChecks {
			m.goroutines.Go(m.checkStore)
		}
	}
}

// checkStore calls the store once and reports an answer to the roster.
func (m *Membership) checkStore() {
	since := m.options.clock()
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	_, err := m.store.Get(ctx, recordKey(m.roster.Self()))
	if err == nil || errors.Is(err, object.ErrNotFound) {
		m.update(roster.StoreAnswered{CalledAt: since})
	}
}

// waitForRecords waits until all pending records have been written and removed.
func (m *Membership) waitForRecords(ctx context.Context) error {
	m.mu.Lock()
	idle := m.pending.idle
	m.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordLoop writes and removes the pending records, and retries after failures.
func (m *Membership) recordLoop() {
	failures := 0
	for {
		if failures == 0 && !m.waitFor(m.recordSignal) {
			return
		}
		if m.processRecords() {
			failures = 0
			continue
		}
		failures++
		if !m.backOff(failures) {
			return
		}
	}
}

// waitFor waits for a signal on c. It reports false if the membership is closed.
func (m *Membership) waitFor(c chan struct{}) bool {
	select {
	case <-m.ctx.Done():
		return false
	case <-c:
		return true
	}
}

// backOff waits after the given number of consecutive failures, for an exponential delay
// with jitter. It reports false if the membership is closed.
func (m *Membership) backOff(failures int) bool {
	delay := min(storeBackoff<<min(failures-1, 4), maxStoreBackoff)
	timer := time.NewTimer(delay/2 + rand.N(delay/2))
	defer timer.Stop()
	select {
	case <-m.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// processRecords tries once to write and remove the pending records. It reports whether
// nothing remains to be done.
func (m *Membership) processRecords() bool {
	m.mu.Lock()
	write := m.pending.write
	deletes := make(map[member.ID]uint64, len(m.pending.deletes))
	for id, incarnation := range m.pending.deletes {
		deletes[id] = incarnation
	}
	m.mu.Unlock()
	done := write == nil || m.writeRecord(*write)
	removed := map[member.ID]uint64{}
	for id, incarnation := range deletes {
		if m.deleteRecord(id, incarnation) {
			removed[id] = incarnation
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if done && m.pending.write == write {
		m.pending.write = nil
	}
	for id, incarnation := range removed {
		if m.pending.deletes[id] == incarnation {
			delete(m.pending.deletes, id)
		}
	}
	if m.pending.empty() {
		select {
		case <-m.pending.idle:
		default:
			close(m.pending.idle)
		}
	}
	return m.pending.empty()
}

// writeRecord writes r to the store and reports whether that is done. If the store has a
// record of this daemon with a higher incarnation, it passes that to the roster instead.
func (m *Membership) writeRecord(r roster.Record) bool {
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	if m.pending.versionKnown {
		// A conflict shows that the known version is outdated.
		err := m.putRecord(ctx, r, m.pending.version)
		if !errors.Is(err, object.ErrConflict) {
			return err == nil
		}
	}
	found, err := m.store.Get(ctx, recordKey(r.Member.ID))
	if err != nil && !errors.Is(err, object.ErrNotFound) {
		return false
	}
	if stored, decodeErr := decodeRecord(found); err == nil && decodeErr == nil {
		if stored.Member.Incarnation > r.Member.Incarnation {
			m.update(roster.StoreRecords{Records: []roster.Record{stored}})
			return true
		}
		if stored == r {
			return true
		}
	}
	return m.putRecord(ctx, r, found.Version) == nil
}

// putRecord writes a record if the stored object has the given version, 0 for none.
func (m *Membership) putRecord(ctx context.Context, r roster.Record, ifVersion uint64) error {
	m.pending.versionKnown = false
	value, err := encodeRecord(r)
	if err != nil {
		return fmt.Errorf("encode the record of %q: %w", r.Member.ID, err)
	}
	written, err := m.store.Put(ctx, recordKey(r.Member.ID), value, ifVersion)
	if err == nil {
		m.pending.versionKnown, m.pending.version = true, written.Version
	}
	return err
}

// deleteRecord removes a member's record from the store unless it has a higher
// incarnation than the given one. It reports whether that is done.
func (m *Membership) deleteRecord(id member.ID, incarnation uint64) bool {
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	found, err := m.store.Get(ctx, recordKey(id))
	if errors.Is(err, object.ErrNotFound) {
		return true
	}
	if err != nil {
		return false
	}
	if r, err := decodeRecord(found); err == nil && r.Member.Incarnation > incarnation {
		return true
	}
	err = m.store.Delete(ctx, found.Key, found.Version)
	return err == nil || errors.Is(err, object.ErrNotFound)
}

// joinLoop takes the member records that were read at the start, or else reads them once. While
// the store doesn't answer, it retries until another daemon is known.
func (m *Membership) joinLoop() {
	if m.options.listing.version > 0 {
		m.takeListing(m.options.listing)
		return
	}
	for failures := 1; ; failures++ {
		if m.listRecords() || len(m.Members()) > 1 {
			return
		}
		if !m.backOff(failures) {
			return
		}
	}
}

// listRecords passes all member records in the store to the roster and reports whether
// the store answered.
func (m *Membership) listRecords() bool {
	since := m.options.clock()
	ctx, cancel := context.WithTimeout(m.ctx, storeTimeout)
	defer cancel()
	objects, version, err := m.store.Watch(ctx, recordPrefix, 0)
	if err != nil {
		return false
	}
	m.takeListing(listing{records: decodeRecords(objects), version: version, calledAt: since})
	return true
}

// takeListing passes the member records in the store to the roster.
func (m *Membership) takeListing(l listing) {
	m.update(roster.StoreAnswered{CalledAt: l.calledAt})
	m.update(roster.StoreRecords{Records: l.records})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordsRead, m.listedVersion = true, l.version
}

// takeListedVersion returns the version as of which the records were listed, from which
// the first watch continues. Later calls return 0.
func (m *Membership) takeListedVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	version := m.listedVersion
	m.listedVersion = 0
	return version
}

// watchLoop watches the member records while the roster requests it, and passes changes
// to the roster.
func (m *Membership) watchLoop() {
	for m.waitFor(m.watchSignal) {
		failures := 0
		after := m.takeListedVersion()
		for m.wantsWatch() {
			objects, version, err := m.store.Watch(m.ctx, recordPrefix, after)
			if err != nil {
				failures++
				if !m.backOff(failures) {
					return
				}
				continue
			}
			failures = 0
			// A version below after means that the store has been restored to an earlier
			// state; the objects are then all that it holds.
			after = version
			m.update(roster.StoreRecords{Records: decodeRecords(objects)})
			if !m.pause(watchPause) {
				return
			}
		}
	}
}

func (m *Membership) wantsWatch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watchRequested && m.ctx.Err() == nil
}

// pause waits for d. It reports false if the membership is closed.
func (m *Membership) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-m.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
