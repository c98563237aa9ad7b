package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"berylpass/emulator"
	"berylpass/ingress"
)

// checkResults compares the results reported to callers with runs, the number of times that backend servers ran each
// request.
func checkResults(all map[string][]result, runs map[string]int) []string {
	var violations []string
	for _, organisation := range sortedKeys(all) {
		for _, r := range all[organisation] {
			n := runs[r.id]
			switch {
			case !r.repeatable && n > 1:
				violations = append(violations, fmt.Sprintf("%s is not repeatable but ran %d times", r.id, n))
			case r.outcome == ingress.NotRun && n > 0:
				violations = append(violations, fmt.Sprintf("%s was reported as not run but ran %d times", r.id, n))
			case r.outcome == ingress.Answered && !strings.Contains(r.body, "request="+r.id+" "):
				violations = append(violations, fmt.Sprintf("%s got an incomplete answer or that of another request", r.id))
			case r.incomplete:
				violations = append(violations, fmt.Sprintf("%s got no complete response", r.id))
			}
		}
	}
	return violations
}

// checkLimit replays an organisation's runs against a token bucket with its rate and
// burst. The level of the bucket stays at zero or above if and only if no window of
// t seconds contains more than burst + rate*t runs.
func checkLimit(c caller, runs []time.Time) []string {
	slices.SortFunc(runs, time.Time.Compare)
	level, last := float64(c.burst), time.Time{}
	for _, at := range runs {
		if !last.IsZero() {
			level = min(float64(c.burst), level+c.rate*at.Sub(last).Seconds())
		}
		last = at
		if level--; level < 0 {
			return []string{fmt.Sprintf("%s exceeded rate %g and burst %d", c.organisation, c.rate, c.burst)}
		}
	}
	return nil
}

// checkNoRuns returns a violation if the journal has a run of a matching request between two times. The argument what
// names the change that forbids it, and from the time from which on it does.
func checkNoRuns(what string, journal []emulator.Run, from, to time.Time, matches func(request string) bool) []string {
	for _, r := range journal {
		if matches(r.Request) && r.At.After(from) && r.At.Before(to) {
			return []string{fmt.Sprintf("%s: %s ran %s after the limit", what, r.Request, r.At.Sub(from).Round(time.Millisecond))}
		}
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
