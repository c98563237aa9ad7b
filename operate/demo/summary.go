package demo

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"berylpass/ingress"
)

// checkInvariants checks the invariants over the whole run, and prints the outcomes of each organisation's requests and
// all violations of the run.
func (d *Demo) checkInvariants(t *traffic) {
	runs := map[string]int{}
	byOrganisation := map[string][]time.Time{}
	for _, id := range sortedKeys(d.backends) {
		b := d.backends[id]
		if n := b.LeakedKeys(); n > 0 {
			d.violations = append(d.violations, fmt.Sprintf("%s received %d callers' keys", id, n))
		}
		for _, r := range b.Runs() {
			runs[r.Request]++
			organisation := r.Request[:strings.LastIndexByte(r.Request, '-')]
			byOrganisation[organisation] = append(byOrganisation[organisation], r.At)
		}
	}
	d.violations = append(d.violations, checkResults(t.results, runs)...)
	for _, c := range callers {
		d.violations = append(d.violations, checkLimit(c, byOrganisation[c.organisation])...)
	}
	d.writeTable(t)
	for _, b := range d.violations {
		d.printf("violation: %s", b)
	}
	if len(d.violations) == 0 {
		d.printf("all invariants held")
	}
}

// writeTable prints the number of requests of each organisation by outcome.
func (d *Demo) writeTable(t *traffic) {
	_, _ = fmt.Fprintln(d.out)
	w := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "organisation\trate\tsent\tanswered\tover limit\tno key\tother not run\tunknown\t")
	for _, c := range callers {
		counts := map[string]int{}
		for _, r := range t.results[c.organisation] {
			counts[column(r)]++
		}
		_, _ = fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t\n", c.organisation, c.rate, len(t.results[c.organisation]),
			counts["answered"], counts["429"], counts["401"], counts["not-run"], counts["unknown"])
	}
	_ = w.Flush()
	_, _ = fmt.Fprintln(d.out)
}

// column returns the key under which writeTable counts a result: 401 or 429 for a request refused with that status, and
// the outcome for any other.
func column(r result) string {
	if r.outcome == ingress.NotRun && (r.status == 401 || r.status == 429) {
		return strconv.Itoa(r.status)
	}
	return string(r.outcome)
}
