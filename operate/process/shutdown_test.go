package process

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"berylpass/config/datacentre"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/settings"
	"berylpass/config/snapshot"
	"berylpass/emulator"
	"berylpass/operate/localfleet"
)

// TestSecondSignalEndsShutdownAtOnce guards against a shutdown that waits out its grace period although a second signal
// arrived. The backend server never answers, so the daemon always has a request in flight.
func TestSecondSignalEndsShutdownAtOnce(t *testing.T) {
	const grace, limit = time.Minute, 5 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	f, err := localfleet.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	d, err := f.StartDaemon("vm-1", "srem")
	if err != nil {
		t.Fatal(err)
	}
	b, err := f.StartBackend("vm-1", "rounds-1", "rounds")
	if err != nil {
		t.Fatal(err)
	}
	b.SetFault(emulator.Fault{NoAnswer: true})
	s := snapshot.New(1).WithDatacentre(datacentre.New("srem", "wielkopolska")).WithService(service.New("rounds")).
		WithRoute(route.New("notices", "rounds").WithOpen(true).WithDeadline(grace)).Index()
	if err := f.Publish(ctx, s); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(ctx, 1); err != nil {
		t.Fatal(err)
	}
	go func() {
		response, err := http.Get("http://" + d.Addresses().Callers + "/")
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for b.InUse() == 0 {
		<-ticker.C
	}
	secondSignal := make(chan os.Signal, 1)
	secondSignal <- syscall.SIGTERM
	start := time.Now()
	err = shutDown(d, settings.Settings{Shutdown: settings.Shutdown{Grace: grace}}, secondSignal)
	if !errors.Is(err, errSecondSignal) {
		t.Errorf("shutDown returned %v, want %v", err, errSecondSignal)
	}
	if took := time.Since(start); took > limit {
		t.Errorf("shutDown took %s, more than the limit", took)
	}
}
