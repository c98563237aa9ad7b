package evidence

import (
	"math"
	"time"

	"berylpass/choice/report"
)

const (
	// minOverdue is the least age at which a request without an answer counts as evidence.
	minOverdue = time.Second
	// unknownOverdue is that age while no level is known.
	unknownOverdue = 2 * time.Second
	// overdueFactor and overdueSpreads make that age a multiple of the level.
	overdueFactor  = 12
	overdueSpreads = 3
)

// Overdue returns the age from which a running request speaks against its
// backend server: 12 times the level or 3 times its spread, and a second at least.
func Overdue(l report.Level) time.Duration {
	if l.Samples == 0 {
		return unknownOverdue
	}
	factor := max(overdueFactor, math.Exp(overdueSpreads*l.Spread))
	return max(minOverdue, time.Duration(factor*float64(l.Time)))
}
