// Package allotment describes which daemons own the shares of a shard's limits.
//
// Organisations are grouped into Shards shards. The limits of every organisation
// in a shard are cut into Shares fixed shares, whose sums equal the configured
// rate and burst, and the shard's record in the platform's store names the owner
// of each share. Only owners change the record, by conditional writes. A share
// moves away from an owner that is lost when every other owner has voted so.
//
// # Usage
//
//	shard := allotment.Shard("hope-bay-library")
//	r := allotment.New(allotment.Place(shard, members))
//	r = r.WithVote("vm-3", "vm-1").WithMove("vm-3", "vm-1")
//	rate, burst := allotment.Share(0, 20, 40)
package allotment

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"berylpass/fleet/member"
)

const (
	// Shares is the number of shares of each limit.
	Shares = 3
	// Shards is the number of groups of organisations; each has one record.
	Shards = 256
	// Prefix is the prefix of the records' keys in the store.
	Prefix = "limit-allotments/"
)

// ErrMalformed reports a value that is not a record.
var ErrMalformed = errors.New("malformed allotment record")

// Record names the owners of a shard's shares.
type Record struct {
	// Owners is the owner of each share.
	Owners [Shares]member.ID `json:"owners"`
	// Votes lists for an owner the other owners that hold it to be lost, sorted.
	Votes map[member.ID][]member.ID `json:"votes,omitempty"`
	// Renewals counts the times that an owner renewed its lease in the store.
	Renewals map[member.ID]uint64 `json:"renewals,omitempty"`
}

// Key returns the store's key of a shard's record.
func Key(shard int) string { return fmt.Sprintf("%s%03d", Prefix, shard) }

// New returns a record without votes. Missing owners are filled up with the first ones.
func New(owners []member.ID) Record {
	var r Record
	for i := range r.Owners {
		r.Owners[i] = owners[i%len(owners)]
	}
	return r
}

// Parse reads what Bytes wrote. Its error is ErrMalformed.
func Parse(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if slices.Contains(r.Owners[:], "") {
		return Record{}, fmt.Errorf("%w: a share without owner", ErrMalformed)
	}
	return r, nil
}

// Bytes returns the record in its stored form.
func (r Record) Bytes() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // Strings, numbers and maps of them always marshal.
	}
	return value
}

// Holders returns the distinct owners in the order of their first share.
func (r Record) Holders() []member.ID {
	holders := make([]member.ID, 0, Shares)
	for _, o := range r.Owners {
		if !slices.Contains(holders, o) {
			holders = append(holders, o)
		}
	}
	return holders
}

// Others returns the holders but for id.
func (r Record) Others(id member.ID) []member.ID {
	return slices.DeleteFunc(r.Holders(), func(o member.ID) bool { return o == id })
}

// Holds reports whether id owns a share.
func (r Record) Holds(id member.ID) bool { return slices.Contains(r.Owners[:], id) }

// SharesOf returns the shares that id owns.
func (r Record) SharesOf(id member.ID) []int {
	var shares []int
	for i, o := range r.Owners {
		if o == id {
			shares = append(shares, i)
		}
	}
	return shares
}

// Mask returns the shares that id owns, as bits.
func (r Record) Mask(id member.ID) uint8 {
	var mask uint8
	for _, share := range r.SharesOf(id) {
		mask |= 1 << share
	}
	return mask
}

// HasVoted reports whether voter holds target to be lost.
func (r Record) HasVoted(target, voter member.ID) bool {
	return slices.Contains(r.Votes[target], voter)
}

// Lost reports whether all other holders have voted against target.
func (r Record) Lost(target member.ID) bool {
	others := r.Others(target)
	for _, o := range others {
		if !r.HasVoted(target, o) {
			return false
		}
	}
	return len(others) > 0
}

// WithVote returns a copy in which voter holds target to be lost.
func (r Record) WithVote(target, voter member.ID) Record {
	r = r.clone()
	voters := append(slices.Clone(r.Votes[target]), voter)
	slices.Sort(voters)
	r.Votes[target] = slices.Compact(voters)
	return r
}

// WithRenewal returns a copy in which id has renewed its lease: votes against it are void.
func (r Record) WithRenewal(id member.ID) Record {
	r = r.clone()
	r.Renewals[id]++
	delete(r.Votes, id)
	return r
}

// WithMove returns a copy in which all shares of from belong to the owner to.
// from is no longer a holder: its votes are dropped.
func (r Record) WithMove(from, to member.ID) Record {
	for _, share := range r.SharesOf(from) {
		r = r.WithOwner(share, to)
	}
	return r
}

// WithOwner returns a copy in which share belongs to the owner to.
func (r Record) WithOwner(share int, to member.ID) Record {
	r = r.clone()
	r.Owners[share] = to
	for target, voters := range r.Votes {
		kept := slices.DeleteFunc(slices.Clone(voters), func(v member.ID) bool { return !r.Holds(v) })
		r.Votes[target] = kept
		if len(kept) == 0 || !r.Holds(target) {
			delete(r.Votes, target)
		}
	}
	for id := range r.Renewals {
		if !r.Holds(id) {
			delete(r.Renewals, id)
		}
	}
	return r
}

func (r Record) clone() Record {
	votes := make(map[member.ID][]member.ID, len(r.Votes)+1)
	for target, voters := range r.Votes {
		votes[target] = voters
	}
	renewals := make(map[member.ID]uint64, len(r.Renewals)+1)
	for id, n := range r.Renewals {
		renewals[id] = n
	}
	r.Votes, r.Renewals = votes, renewals
	return r
}

// ParseKey returns the shard of a record's key.
func ParseKey(key string) (int, bool) {
	number, ok := strings.CutPrefix(key, Prefix)
	shard, err := strconv.Atoi(number)
	if !ok || err != nil || shard < 0 || shard >= Shards {
		return 0, false
	}
	return shard, true
}
