package allotment

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
	"strconv"

	"berylpass/fleet/member"
)

// Shard returns the shard of an organisation.
func Shard(organisation string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, organisation)
	return int(h.Sum32() % Shards)
}

// Share returns a share's part of a limit: a third of the rate, and whole tokens
// of the burst, more of them to the lower shares. Each part grows with the limit
// that it is a part of, so shares taken from two limits never sum to more than
// the larger limit.
func Share(share int, rate float64, burst int) (partRate float64, partBurst int) {
	return rate / Shares, (burst + Shares - 1 - share) / Shares
}

// Place returns the members that should own the shares of a shard, in order, by
// rendezvous hashing (Thaler and Ravishankar): first the best of each data centre,
// then the rest. Only serving members are placed; the result has at most Shares members.
func Place(shard int, members []member.Member) []member.ID {
	type scored struct {
		member member.Member
		score  uint64
	}
	ranked := make([]scored, 0, len(members))
	for _, m := range members {
		if m.State == member.Serving {
			ranked = append(ranked, scored{member: m, score: score(shard, m.ID)})
		}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	var first, rest []member.ID
	seen := map[string]bool{}
	for _, r := range ranked {
		if seen[r.member.Datacentre] {
			rest = append(rest, r.member.ID)
			continue
		}
		seen[r.member.Datacentre] = true
		first = append(first, r.member.ID)
	}
	placed := append(first, rest...)
	return placed[:min(len(placed), Shares)]
}

func score(shard int, id member.ID) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, strconv.Itoa(shard)+"/"+string(id))
	return mix(h.Sum64())
}

// mix spreads the bits of a hash, by the finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
