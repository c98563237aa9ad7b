package admission_test

import (
	"testing"
	"time"

	"berylpass/choice/urgency"
)

// TestSilentLevelDoesNotShutOthersOut lets an overload close the most urgent level, of which nothing arrives after
// that, while the guards refuse nothing any more for a minute. The less urgent requests must be admitted again.
func TestSilentLevelDoesNotShutOthersOut(t *testing.T) {
	s := newSession()
	for range 200 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.hear(8, urgency.First, 1)
		s.admits(urgency.First, "a")
		s.admits(urgency.Second, "a")
	}
	admitted := 0
	for i := range 600 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.hear(8, urgency.First, 0)
		if s.admits(urgency.Second, "a") && i >= 500 {
			admitted++
		}
	}
	if admitted != 100 {
		t.Errorf("%d of the last 100 requests of the second level admitted, a minute after the overload", admitted)
	}
}
