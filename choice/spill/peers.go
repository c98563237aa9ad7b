package spill

import "time"

// peerRetention is the time for which a daemon divides by the greater of its region's numbers of live daemons: longer than it
// takes to hear again of daemons that seemed dead during a partition or a pause.
const peerRetention = time.Minute

// Peers counts the daemons between which the share of the link is divided. A daemon that takes others for dead, because it
// is cut off itself or was paused, must not take over their parts at once. The zero value knows none.
type Peers struct {
	counted []count
}

// count is the number of live daemons from a time on.
type count struct {
	n     int
	until time.Time
}

// Update records the number of live daemons and returns the greatest of the last minute, at least 1.
func (p *Peers) Update(now time.Time, n int) int {
	kept := p.counted[:0]
	greatest := max(n, 1)
	for _, c := range p.counted {
		if now.Before(c.until) && c.n > n {
			kept = append(kept, c)
			greatest = max(greatest, c.n)
		}
	}
	p.counted = append(kept, count{n: n, until: now.Add(peerRetention)})
	return greatest
}
