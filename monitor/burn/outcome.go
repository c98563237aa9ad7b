package burn

// Outcome is how a request counts against its route's objective.
type Outcome uint8

// The outcomes of requests. The deadline is that of the route.
const (
	// InTime requests were answered within the deadline and without a server error.
	InTime Outcome = iota
	// Late requests were answered after the deadline, or with a server error (a status of 500 or more).
	Late
	// NotRun requests were refused although their organisation was within its rate limit.
	NotRun
	// OverRate requests were refused because their organisation exceeded its rate limit.
	OverRate
	// Unknown requests may or may not have run.
	Unknown
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

var outcomeNames = [OutcomeCount]string{"in-time", "late", "not-run", "over-rate", "unknown"}

// String returns the kebab-case name of the outcome, or "invalid" for any other value.
func (o Outcome) String() string {
	if o >= OutcomeCount {
		return "invalid"
	}
	return outcomeNames[o]
}

// Good reports whether the request met the objective.
func (o Outcome) Good() bool { return o == InTime }

// Counts reports whether the request counts in the objective's success rate: a
// request over the rate limit does not.
func (o Outcome) Counts() bool { return o != OverRate && o < OutcomeCount }
