package scenario

import (
	"testing"
	"time"

	"berylpass/choice/picker"
	"berylpass/decision"
)

// TestRecovery measures the time until a backend server that is well again takes its full share.
func TestRecovery(t *testing.T) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			w := newWorld(blueMahoe(2))
			victim := w.names[len(w.names)-1]
			w.load()
			w.run(20 * time.Second)
			out := make(map[int]bool)
			again := 0
			w.actions = func(i int, a decision.Action) {
				switch a := a.(type) {
				case picker.Ejected:
					out[i] = true
					if a.Strikes > 1 {
						again++
					}
				case picker.Restored:
					delete(out, i)
				}
			}
			f.break_(w, victim)
			w.run(6 * time.Second)
			ejected := len(out)
			w.servers[victim].repair()
			well := w.now
			for len(out) > 0 && w.now.Sub(well) < 2*time.Minute {
				w.run(100 * time.Millisecond)
			}
			t.Logf("%d of 20 ingresses had ejected it; all restored %v after it was well; ejected again %d times", ejected, w.now.Sub(well), again)
			if len(out) > 0 {
				t.Errorf("%d ingresses still do without it", len(out))
			}
		})
	}
}
