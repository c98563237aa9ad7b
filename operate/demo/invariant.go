package demo

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"berylpass/emulator"
	"berylpass/ingress"
)

// checkTold compares what callers were told with what backend servers ran.
func checkTold(all map[string][]told, runs map[string]int) []string {
	var broken []string
	for _, organisation := range sortedKeys(all) {
		for _, r := range all[organisation] {
			n := runs[r.id]
			switch {
			case !r.repeatable && n > 1:
				broken = append(broken, fmt.Sprintf("%s must not be repeated and ran %d times", r.id, n))
			case r.outcome == ingress.NotRun && n > 0:
				broken = append(broken, fmt.Sprintf("%s was refused as not run and ran %d times", r.id, n))
			case r.outcome == ingress.Answered && !strings.Contains(r.body, "request="+r.id+" "):
				broken = append(broken, fmt.Sprintf("%s got an answer that is not its own or not whole", r.id))
			case r.cut:
				broken = append(broken, fmt.Sprintf("%s was cut", r.id))
			}
		}
	}
	return broken
}

// checkLimit runs a token bucket of the organisation's rate and burst over its
// runs: the bucket never falls below zero exactly if no window exceeds burst + rate*t.
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

// checkQuiet looks for runs between two times.
func checkQuiet(what string, journal []emulator.Run, from, to time.Time, concerns func(request string) bool) []string {
	for _, r := range journal {
		if concerns(r.Request) && r.At.After(from) && r.At.Before(to) {
			return []string{fmt.Sprintf("%s: %s ran %s after the change", what, r.Request, r.At.Sub(from).Round(time.Millisecond))}
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
