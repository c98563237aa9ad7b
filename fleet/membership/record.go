package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"berylpass/fleet/member"
	"berylpass/fleet/roster"
	"berylpass/store/object"
)

// recordPrefix is the prefix of the store keys of member records; the member's ID
// follows it.
const recordPrefix = "members/"

// errUnknownState reports a member record with an unknown state.
var errUnknownState = errors.New("unknown member state")

// record is the JSON form of a member record in the store.
type record struct {
	ID          member.ID `json:"id"`
	Datacentre  string    `json:"datacentre"`
	Control     string    `json:"control"`
	Data        string    `json:"data"`
	Incarnation uint64    `json:"incarnation"`
	// Version is the version of the member's state, not that of the store's object.
	Version uint64 `json:"version"`
	// State is "serving" or "leaving".
	State string `json:"state"`
}

func recordKey(id member.ID) string { return recordPrefix + string(id) }

// Start is the incarnation with which a daemon starts, and the version of the record that an
// earlier run left in the store.
type Start struct {
	// Incarnation is above that of the daemon's record in the store if Confirmed is set.
	Incarnation uint64
	// Confirmed reports whether the store answered.
	Confirmed bool
	// RecordVersion is the object version of the daemon's record in the store, 0 if there is
	// none.
	RecordVersion uint64
	// listing holds the members' records, with which the daemon joins.
	listing listing
}

// listing is a list of the members' records in the store.
type listing struct {
	records []roster.Record
	// version is the store's version as of which the records are; 0 if there is no list.
	version uint64
	// calledAt is when the store was called.
	calledAt time.Time
}

// NewStart chooses the incarnation of a daemon that starts now. It is the time in Unix
// milliseconds, or the incarnation in the store plus 1 if that is higher because the
// clock was ahead in an earlier run. If the store doesn't answer, the incarnation is the
// time, unconfirmed; see WithStart. It reads all records in one call, since the daemon needs
// the others to join: when a fleet starts, each call is made hundreds of times.
func NewStart(ctx context.Context, store Store, id member.ID, now time.Time) Start {
	s := Start{Incarnation: uint64(max(now.UnixMilli(), 1))}
	objects, version, err := store.Watch(ctx, recordPrefix, 0)
	if err != nil {
		return s
	}
	s.Confirmed, s.listing = true, listing{records: decodeRecords(objects), version: version, calledAt: now}
	for _, o := range objects {
		if o.Key != recordKey(id) || o.Deleted {
			continue
		}
		s.RecordVersion = o.Version
		if r, err := decodeRecord(o); err == nil && r.Member.Incarnation >= s.Incarnation {
			s.Incarnation = r.Member.Incarnation + 1
		}
	}
	return s
}

func encodeRecord(r roster.Record) ([]byte, error) {
	m := r.Member
	return json.Marshal(record{
		ID: m.ID, Datacentre: m.Datacentre, Control: m.Control, Data: m.Data,
		Incarnation: m.Incarnation, Version: r.Version, State: m.State.String(),
	})
}

func decodeRecord(o object.Object) (roster.Record, error) {
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return roster.Record{}, fmt.Errorf("read member record %q: %w", o.Key, err)
	}
	if recordKey(r.ID) != o.Key {
		return roster.Record{}, fmt.Errorf("read member record %q: the record has the ID %q", o.Key, r.ID)
	}
	for _, state := range [...]member.State{member.Serving, member.Leaving} {
		if state.String() == r.State {
			m := member.New(r.ID, r.Datacentre).WithAddresses(r.Control, r.Data).
				WithIncarnation(r.Incarnation).WithState(state)
			return roster.Record{Member: m, Version: r.Version}, nil
		}
	}
	return roster.Record{}, fmt.Errorf("read member record %q: %w %q", o.Key, errUnknownState, r.State)
}

// decodeRecords returns the records in the objects. It leaves out deleted objects and
// those that are not valid records.
func decodeRecords(objects []object.Object) []roster.Record {
	records := make([]roster.Record, 0, len(objects))
	for _, o := range objects {
		if o.Deleted {
			continue
		}
		if r, err := decodeRecord(o); err == nil {
			records = append(records, r)
		}
	}
	return records
}
