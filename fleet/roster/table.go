package roster

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"berylpass/fleet/backend"
	"berylpass/fleet/member"
)

// bucketCount is the number of parts in which two daemons compare their tables.
const bucketCount = 256

// key names a record: a member, or a backend server beside one.
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

// memberRow is what is known of a member.
type memberRow struct {
	delta Delta
	// revision is the last that the member itself reported.
	revision uint64
	// since is the time of the last change of state.
	since time.Time
	// suspectUntil is the time at which a suspected member is declared dead.
	suspectUntil time.Time
	// cleaned tells that the removal of the store record was asked for.
	cleaned bool
	// places are the member's places on the probe rings.
	places [ringCount]uint64
}

func (r *memberRow) state() member.State { return member.State(r.delta.State) }

func (r *memberRow) alive() bool { return r.state() != member.Dead }

func (r *memberRow) member() member.Member {
	d := r.delta
	return member.New(d.ID, d.Datacentre).WithAddresses(d.Control, d.Data).
		WithIncarnation(d.Incarnation).WithState(r.state()).WithRevision(r.revision)
}

// backendRow is what is known of a backend server.
type backendRow struct {
	delta   Delta
	address string
	since   time.Time
}

func (r *backendRow) gone() bool { return backend.State(r.delta.State) == backend.Gone }

func (r *backendRow) backend() backend.Backend {
	d := r.delta
	return backend.New(d.Backend, d.Service, d.ID).WithSlots(d.Slots).WithAddress(r.address).
		WithIncarnation(d.BackendIncarnation).WithState(backend.State(d.State))
}

// table holds all records, with a hash for each bucket of those in use.
type table struct {
	members  map[member.ID]*memberRow
	backends map[member.ID]map[backend.ID]*backendRow
	buckets  [bucketCount]uint32
	size     int
	// gone is the number of backend servers that left and are remembered.
	gone int
}

func newTable() table {
	return table{members: map[member.ID]*memberRow{}, backends: map[member.ID]map[backend.ID]*backendRow{}}
}

// hash covers all records in use.
func (t *table) hash() uint32 {
	h := uint32(0)
	for _, b := range t.buckets {
		h = h*31 + b
	}
	return h
}

// account adds or removes a record in use from the hashes; both are the same operation.
func (t *table) account(d Delta, sign int) {
	t.buckets[bucketOf(d)] ^= fingerprint(d)
	t.size += sign
}

// setMember replaces a member's delta.
func (t *table) setMember(row *memberRow, d Delta) {
	if row.alive() {
		t.account(row.delta, -1)
	}
	row.delta = d
	if row.alive() {
		t.account(d, 1)
	}
}

// addMember adds a member that is not in the table.
func (t *table) addMember(d Delta) *memberRow {
	row := &memberRow{delta: d, places: ringPlaces(d.ID)}
	t.members[d.ID] = row
	if row.alive() {
		t.account(d, 1)
	}
	return row
}

// setBackend adds a backend server or replaces its delta.
func (t *table) setBackend(d Delta, now time.Time) *backendRow {
	beside := t.backends[d.ID]
	if beside == nil {
		beside = map[backend.ID]*backendRow{}
		t.backends[d.ID] = beside
	}
	row := beside[d.Backend]
	if row == nil {
		row = &backendRow{}
		beside[d.Backend] = row
	} else {
		t.accountBackend(row, -1)
	}
	row.delta, row.since = d, now
	t.accountBackend(row, 1)
	return row
}

func (t *table) accountBackend(row *backendRow, sign int) {
	if row.gone() {
		t.gone += sign
		return
	}
	t.account(row.delta, sign)
}

func (t *table) removeBackend(d Delta) {
	t.accountBackend(t.backends[d.ID][d.Backend], -1)
	delete(t.backends[d.ID], d.Backend)
}

func (t *table) removeMember(id member.ID) {
	for _, row := range t.besides(id) {
		t.removeBackend(row.delta)
	}
	delete(t.backends, id)
	if t.members[id].alive() {
		t.account(t.members[id].delta, -1)
	}
	delete(t.members, id)
}

// besides returns the backend servers beside a member, in order of IDs.
func (t *table) besides(id member.ID) []*backendRow {
	rows := make([]*backendRow, 0, len(t.backends[id]))
	for _, row := range t.backends[id] {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *backendRow) int {
		return strings.Compare(string(a.delta.Backend), string(b.delta.Backend))
	})
	return rows
}

// count returns the numbers of members that did not leave, and of those alive.
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

// troubled returns the suspected and the dead members in order of IDs.
func (t *table) troubled() []*memberRow {
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

// sorted returns all members in order of IDs.
func (t *table) sorted() []*memberRow {
	rows := make([]*memberRow, 0, len(t.members))
	for _, row := range t.members {
		rows = append(rows, row)
	}
	sortRows(rows)
	return rows
}

// differing returns the records, dead and gone ones included, of the buckets
// whose hashes differ from the given ones, bucket by bucket from the given start,
// up to limit bytes but at least one member's.
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
			limit -= row.delta.size()
			for _, beside := range t.besides(row.delta.ID) {
				found = append(found, beside.delta)
				limit -= beside.delta.size()
			}
			if limit <= 0 {
				return found
			}
		}
	}
	return found
}

// bucketOf puts a member and the backend servers beside it in one bucket.
func bucketOf(d Delta) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(d.ID))
	return int(h.Sum32() % bucketCount)
}

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
