package daemon_test

import "testing"

// TestLaterProcessSupersedesEarlier starts a second daemon with the ID of a running one and
// checks that the earlier one stops.
func TestLaterProcessSupersedesEarlier(t *testing.T) {
	f := newTestFleet(t, 2)
	earlier := f.Daemons()[vm(1)]
	f.startDaemon(1)
	f.waitUntil("the earlier daemon has stopped", func() bool {
		select {
		case <-earlier.Ended():
			return true
		default:
			return false
		}
	})
}
