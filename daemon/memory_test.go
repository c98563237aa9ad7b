package daemon

import (
	"testing"

	"berylpass/caller/memory"
	"berylpass/config/settings"
)

// TestCallerConnectionsFitTheMachine checks that callers' connections leave descriptors and memory to the daemon.
func TestCallerConnectionsFitTheMachine(t *testing.T) {
	for _, test := range []struct {
		limits settings.Limits
		want   int
	}{
		{settings.Limits{CallerConnections: 20000, Descriptors: 600, Memory: 1 << 30}, 450},
		{settings.Limits{CallerConnections: 100, Descriptors: 600, Memory: 1 << 30}, 100},
		{settings.Limits{CallerConnections: 20000, Descriptors: 8192, Memory: 64 << 20}, 1024},
	} {
		if got := callerConnections(test.limits); got != test.want {
			t.Errorf("%+v: %d connections, want %d", test.limits, got, test.want)
		}
	}
}

// TestMemoryWithoutASetting checks that a daemon whose settings name no memory takes at most defaultMemory.
func TestMemoryWithoutASetting(t *testing.T) {
	p := MemoryParts(settings.Limits{})
	if most := memory.Divide(defaultMemory); p.Runtime <= 0 || p.Runtime > most.Runtime {
		t.Errorf("got %+v, want at most %+v", p, most)
	}
}
