package evidence

import (
	"math"
	"time"

	"berylpass/choice/report"
)

const (
	// minOverdueAge is the least age at which an unanswered request counts as evidence.
	minOverdueAge = time.Second
	// defaultOverdueAge is that age while the level is unknown.
	defaultOverdueAge = 2 * time.Second
	// That age is overdueFactor times the level, or more if its spread is so large that exp(overdueSpreads ×
	// spread) exceeds overdueFactor.
	overdueFactor  = 12
	overdueSpreads = 3
)

// Overdue returns the age from which an unanswered request counts as evidence against its backend server: the
// level times 12 or e to the power of 3 spreads, whichever is more, and at least one second.
func Overdue(l report.Level) time.Duration {
	if l.Samples == 0 {
		return defaultOverdueAge
	}
	factor := max(overdueFactor, math.Exp(overdueSpreads*l.Spread))
	return max(minOverdueAge, time.Duration(factor*float64(l.Time)))
}
