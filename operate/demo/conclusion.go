package demo

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"berylpass/ingress"
)

// conclude checks the invariants over the whole run and prints the table.
func (d *Demo) conclude(t *traffic) {
	runs := map[string]int{}
	byOrganisation := map[string][]time.Time{}
	for _, id := range sortedKeys(d.backends) {
		b := d.backends[id]
		if n := b.KeysSeen(); n > 0 {
			d.broken = append(d.broken, fmt.Sprintf("%s saw %d callers' keys", id, n))
		}
		for _, r := range b.Journal() {
			runs[r.Request]++
			organisation := r.Request[:strings.LastIndexByte(r.Request, '-')]
			byOrganisation[organisation] = append(byOrganisation[organisation], r.At)
		}
	}
	d.broken = append(d.broken, checkTold(t.told, runs)...)
	for _, c := range callers {
		d.broken = append(d.broken, checkLimit(c, byOrganisation[c.organisation])...)
	}
	d.table(t)
	for _, b := range d.broken {
		d.say("BROKEN: %s", b)
	}
	if len(d.broken) == 0 {
		d.say("all invariants held")
	}
}

func (d *Demo) table(t *traffic) {
	_, _ = fmt.Fprintln(d.out)
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "organisation\trate\tsent\tanswered\tover limit\tno key\tother not run\tunknown\t")
	for _, c := range callers {
		counts := map[string]int{}
		for _, r := range t.told[c.organisation] {
			counts[columnOf(r)]++
		}
		_, _ = fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.organisation, c.rate, len(t.told[c.organisation]),
			counts["answered"], counts["429"], counts["401"], counts["not-run"], counts["unknown"])
	}
	_ = w.Flush()
	_, _ = fmt.Fprintln(d.out)
}

func columnOf(r told) string {
	if r.outcome == ingress.NotRun && (r.status == 401 || r.status == 429) {
		return strconv.Itoa(r.status)
	}
	return string(r.outcome)
}
