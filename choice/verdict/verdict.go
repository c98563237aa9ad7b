// Package verdict classifies how one attempt at a backend server ended.
//
// # Usage
//
//	if v.Answered() { ... }
package verdict

// Verdict is how an attempt ended, as seen by the ingress or by the guard.
type Verdict uint8

// The verdicts.
const (
	// OK is a complete answer that is not a server error.
	OK Verdict = iota
	// Error is an answer that reports a fault of the backend server.
	Error
	// Shed is a refusal as "not run", by the guard or by the backend server.
	Shed
	// Timeout is no answer before the deadline.
	Timeout
	// PathFailure is a guard that could not be reached, or whose connection broke.
	PathFailure
	// Reset is a backend server that refused or broke the connection.
	Reset
	// Cancelled is an attempt that its caller cancelled; it says nothing about the backend server.
	Cancelled
)

var names = [...]string{"ok", "error", "shed", "timeout", "path-failure", "reset", "cancelled"}

// String returns the kebab-case name of the verdict.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return "unknown"
	}
	return names[v]
}

// Answered reports whether the guard answered the ingress, which proves that the path works in both
// directions.
func (v Verdict) Answered() bool { return v == OK || v == Error || v == Shed || v == Reset }

// Faulty reports whether the verdict is a fault of the backend server itself.
func (v Verdict) Faulty() bool { return v == Error || v == Timeout || v == Reset }
