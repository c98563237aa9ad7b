package evidence

import (
	"math"
	"time"

	"berylpass/choice/report"
)

const (
	// minOverdueAge is the least age at which an unanswered request counts as evidence.
	minOverdueAge = time.Second
	// defaultOverdueAge is the overdue age while the level is unknown.
	defaultOverdueAge = 2 * time.Second
	// The overdue age is the level times overdueFactor or exp(overdueSpreads × spread), whichever is greater.
	overdueFactor  = 12
	overdueSpreads = 3
)

// OverdueAge returns the overdue age: the age from which an unanswered request counts as evidence against its
// backend server. It is a multiple of the level, and at least minOverdueAge.
func OverdueAge(l report.Level) time.Duration {
	if l.Samples == 0 {
		return defaultOverdueAge
	}
	factor := max(overdueFactor, math.Exp(overdueSpreads*l.Spread))
	return max(minOverdueAge, time.Duration(factor*float64(l.Time)))
}
