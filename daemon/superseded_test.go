package daemon_test

import "testing"

// TestLaterProcessEndsTheEarlier starts a second daemon with the ID of the first.
func TestLaterProcessEndsTheEarlier(t *testing.T) {
	w := newWorld(t, 2)
	earlier := w.Daemons()[vm(1)]
	w.daemon(1)
	w.until("the earlier process has ended", func() bool {
		select {
		case <-earlier.Ended():
			return true
		default:
			return false
		}
	})
}
