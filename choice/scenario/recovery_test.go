package scenario

import (
	"testing"
	"time"

	"berylpass/choice/picker"
	"berylpass/decision"
)

// TestRecovery measures the time from the repair of a backend server until all ingresses have
// restored it.
func TestRecovery(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			w := newWorld(blueMahoe(2))
			victim := w.names[len(w.names)-1]
			w.startLoad()
			w.run(20 * time.Second)
			ejectedBy := make(map[int]bool)
			reEjections := 0
			w.actions = func(i int, a decision.Action) {
				switch a := a.(type) {
				case picker.Ejected:
					ejectedBy[i] = true
					if a.RecentEjections > 1 {
						reEjections++
					}
				case picker.Restored:
					delete(ejectedBy, i)
				}
			}
			f.inject(w, victim)
			w.run(6 * time.Second)
			ejected := len(ejectedBy)
			w.servers[victim].repair()
			repaired := w.now
			for len(ejectedBy) > 0 && w.now.Sub(repaired) < 2*time.Minute {
				w.run(100 * time.Millisecond)
			}
			t.Logf("%d of 20 ingresses had ejected it; all restored it %v after its repair; %d repeated ejections",
				ejected, w.now.Sub(repaired), reEjections)
			if len(ejectedBy) > 0 {
				t.Errorf("%d ingresses have not restored it in time", len(ejectedBy))
			}
		})
	}
}
