package roster

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// bucketCount is the number of hash buckets by which two daemons compare their tables.
const bucketCount = 256

// key identifies a record: of a member, or of a backend server if backend is set.
type key struct {
	member  member.ID
	backend backend.ID
}

func (k key) compare(other key) int {
	if c := strings.Compare(string(k.member), string(other.member)); c != 0 {
		return c
	}
	return strings.Compare(string(k.backend), string(other.backend))
}

// memberRow is the table's entry of a member.
type memberRow struct {
	delta Delta
	// revision is the highest configuration revision that the member itself reported.
	revision uint64
	// since is the time of the last change of delta.
	since time.Time
	// suspectUntil is the time at which a suspected member is to be declared dead.
	suspectUntil time.Time
	// deletionRequested reports whether the removal of the member's record from the
	// store has been requested.
	deletionRequested bool
	// positions are the member's positions on the hash rings.
	positions [ringCount]uint64
}

func (r *memberRow) state() member.State { return member.State(r.delta.State) }

func (r *memberRow) alive() bool { return r.state() != member.Dead }

func (r *memberRow) member() member.Member {
	d := r.delta
	return member.New(d.ID, d.Datacentre).WithAddresses(d.Control, d.Data).
		WithIncarnation(d.Incarnation).WithState(r.state()).WithRevision(r.revision)
}

// backendRow is the table's entry of a backend server.
type backendRow struct {
	delta Delta
	// address is the loopback address; it is only known for backend servers on this
	// daemon's VM.
	address string
	// since is the time of the last change of delta.
	since time.Time
}

func (r *backendRow) gone() bool { return backend.State(r.delta.State) == backend.Gone }

func (r *backendRow) backend() backend.Backend {
	d := r.delta
	return backend.New(d.Backend, d.Service, d.ID).WithSlots(d.Slots).WithAddress(r.address).
		WithIncarnation(d.BackendIncarnation).WithState(backend.State(d.State)).
		WithVersion(d.BackendVersion)
}

// table holds all records. The live ones, of members that are not dead and of backend
// servers that are not gone, are covered by the bucket hashes.
type table struct {
	members  map[member.ID]*memberRow
	backends map[member.ID]map[backend.ID]*backendRow
	// buckets are the XOR of the fingerprints of the live records in each bucket.
	buckets [bucketCount]uint32
	// size is the number of live records.
	size int
	// regions are the regions of the data centres; nil if they make no difference.
	regions map[string]string
	// lostRegions holds the other regions of which so many members are dead that the link may be cut.
	lostRegions map[string]bool
	// goneBackends is the number of records of gone backend servers.
	goneBackends int
}

func newTable() table {
	return table{members: map[member.ID]*memberRow{}, backends: map[member.ID]map[backend.ID]*backendRow{}}
}

// hash returns a digest of all live records.
func (t *table) hash() uint32 {
	h := uint32(0)
	for _, b := range t.buckets {
		h = h*31 + b
	}
	return h
}

// updateTotals adds a live record to the bucket hashes and the size if sign is 1, and
// removes it if sign is -1. Both are the same operation on the hashes, an XOR.
func (t *table) updateTotals(d Delta, sign int) {
	t.buckets[bucketOf(d)] ^= fingerprint(d)
	t.size += sign
}

// setMember replaces the delta of a member in the table.
func (t *table) setMember(row *memberRow, d Delta) {
	if row.alive() {
		t.updateTotals(row.delta, -1)
	}
	row.delta = d
	if row.alive() {
		t.updateTotals(d, 1)
	}
}

// addMember adds a member that is not in the table yet.
func (t *table) addMember(d Delta) *memberRow {
	row := &memberRow{delta: d, positions: ringPositions(d.ID)}
	t.members[d.ID] = row
	if row.alive() {
		t.updateTotals(d, 1)
	}
	return row
}

// setBackend adds a backend server or replaces its delta.
func (t *table) setBackend(d Delta, now time.Time) *backendRow {
	rows := t.backends[d.ID]
	if rows == nil {
		rows = map[backend.ID]*backendRow{}
		t.backends[d.ID] = rows
	}
	row := rows[d.Backend]
	if row == nil {
		row = &backendRow{}
		rows[d.Backend] = row
	} else {
		t.updateBackendTotals(row, -1)
	}
	row.delta, row.since = d, now
	t.updateBackendTotals(row, 1)
	return row
}

// updateBackendTotals is updateTotals for a backend server, which may be gone.
func (t *table) updateBackendTotals(row *backendRow, sign int) {
	if row.gone() {
		t.goneBackends += sign
		return
	}
	t.updateTotals(row.delta, sign)
}

func (t *table) removeBackend(d Delta) {
	t.updateBackendTotals(t.backends[d.ID][d.Backend], -1)
	delete(t.backends[d.ID], d.Backend)
}

// removeMember removes a member and its backend servers.
func (t *table) removeMember(id member.ID) {
	for _, row := range t.backendRows(id) {
		t.removeBackend(row.delta)
	}
	delete(t.backends, id)
	if t.members[id].alive() {
		t.updateTotals(t.members[id].delta, -1)
	}
	delete(t.members, id)
}

// backendRows returns the backend servers of a member, ordered by ID.
func (t *table) backendRows(id member.ID) []*backendRow {
	rows := make([]*backendRow, 0, len(t.backends[id]))
	for _, row := range t.backends[id] {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *backendRow) int {
		return strings.Compare(string(a.delta.Backend), string(b.delta.Backend))
	})
	return rows
}

// count returns the number of members that did not depart, and the number
// of those that are not dead.
func (t *table) count() (known, alive int) {
	for _, row := range t.members {
		if row.delta.Left {
			continue
		}
		known++
		if row.alive() {
			alive++
		}
	}
	return known, alive
}

// suspectOrDead returns the suspected and the dead members, ordered by ID.
func (t *table) suspectOrDead() []*memberRow {
	var rows []*memberRow
	for _, row := range t.members {
		if row.state() == member.Suspect || row.state() == member.Dead {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []*memberRow) {
	slices.SortFunc(rows, func(a, b *memberRow) int {
		return strings.Compare(string(a.delta.ID), string(b.delta.ID))
	})
}

// sorted returns all members, ordered by ID.
func (t *table) sorted() []*memberRow {
	rows := make([]*memberRow, 0, len(t.members))
	for _, row := range t.members {
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

// differing returns the records, dead and gone ones included, of the buckets whose
// hashes differ from the given ones. It starts at the bucket start, wraps around, and
// stops after the member whose records bring the estimated size to limit bytes. It
// returns nil if buckets doesn't have bucketCount elements.
func (t *table) differing(buckets []uint32, start, limit int) []Delta {
	if len(buckets) != bucketCount {
		return nil
	}
	var rows [bucketCount][]*memberRow
	for _, row := range t.sorted() {
		if b := bucketOf(row.delta); t.buckets[b] != buckets[b] {
			rows[b] = append(rows[b], row)
		}
	}
	var found []Delta
	for i := range rows {
		for _, row := range rows[(start+i)%bucketCount] {
			found = append(found, row.delta)
			limit -= row.delta.encodedSize()
			for _, server := range t.backendRows(row.delta.ID) {
				found = append(found, server.delta)
				limit -= server.delta.encodedSize()
			}
			if limit <= 0 {
				return found
			}
		}
	}
	return found
}

// bucketOf returns the bucket of a record. A member and its backend servers are in the
// same bucket.
func bucketOf(d Delta) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.ID))
	return int(h.Sum32() % bucketCount)
}

// fingerprint returns a hash of the identity, incarnation, version and state of a
// record. Daemons of different builds compare these hashes, so it must not change.
func fingerprint(d Delta) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.ID))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(d.Backend))
	var numbers [17]byte
	for i := range 8 {
		numbers[i] = byte(d.Incarnation >> (8 * i))
		numbers[8+i] = byte(d.Version >> (8 * i))
	}
	numbers[16] = d.State
	_, _ = h.Write(numbers[:])
	sum := h.Sum64()
	return uint32(sum>>32) ^ uint32(sum)
}
