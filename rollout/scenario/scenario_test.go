package scenario

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"berylpass/rollout/conductor"
	"berylpass/rollout/order"
)

const (
	duration = 12 * time.Second
	// margin is the part of the duration that must be left when a good version is completed.
	margin = duration / 10
)

// bad are the sorts of bad versions that the users name; "under-load" depends on the load.
var bad = map[string]behaviour{
	"under-load": nil,
	"errors":     func(r *rand.Rand, _ time.Duration, _ string, _ int) (float64, bool) { return 1, r.Float64() < 0.4 },
	"slow": func(r *rand.Rand, _ time.Duration, _ string, _ int) (float64, bool) {
		if r.Float64() < 0.5 {
			return 8, false
		}
		return 1, false
	},
	"one-route": func(r *rand.Rand, _ time.Duration, route string, _ int) (float64, bool) {
		return 1, route == "booking" && r.Float64() < 0.5
	},
	"late": func(r *rand.Rand, up time.Duration, _ string, _ int) (float64, bool) {
		return 1, up > 3*time.Second && r.Float64() < 0.4
	},
	"late-slow": func(r *rand.Rand, up time.Duration, _ string, _ int) (float64, bool) {
		if up > 5*time.Second && r.Float64() < 0.5 {
			return 6, false
		}
		return 1, false
	},
}

// underLoad returns a version that fails once a backend server runs as many requests as the old ones do on average.
func underLoad(vms int, rate float64) behaviour {
	usual := max(1, int(rate*0.17/float64(vms)))
	return func(r *rand.Rand, _ time.Duration, _ string, running int) (float64, bool) {
		return 1, running >= usual && r.Float64() < 0.5
	}
}

// loads are the numbers of VMs and of requests a second that the scenarios are played with.
var loads = []struct {
	vms  int
	rate float64
}{{40, 400}, {20, 60}, {6, 5}}

func TestGoodVersionIsCompletedInTime(t *testing.T) {
	for _, l := range append(loads, struct {
		vms  int
		rate float64
	}{4, 1.5}) {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d-vms-%g-per-second-%d", l.vms, l.rate, seed), func(t *testing.T) {
				f := newFleet(t, seed, l.vms, l.rate, good)
				f.order(newVersion, duration)
				f.startNew(l.vms)
				f.runUntil(duration, func() bool { return f.outcome().Final() })
				if f.outcome() != order.Completed || f.now.Sub(f.orderedAt) > duration-margin {
					t.Fatalf("%s after %s; steps %+v", f.outcome(), f.now.Sub(f.orderedAt), f.steps)
				}
				f.run(2 * time.Second)
				sent := f.sentToNew
				all := f.sent
				f.run(2 * time.Second)
				if f.sentToNew-sent != f.sent-all {
					t.Errorf("after the completion %d of %d requests went to the new version", f.sentToNew-sent, f.sent-all)
				}
			})
		}
	}
}

func TestBadVersionIsRolledBackInTime(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(bad)) {
		for _, l := range loads[:2] {
			if bad[name] == nil && l.rate*0.17 < float64(l.vms) {
				// Under one running request for each backend server there is no load under which to fail.
				continue
			}
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%s-%d-vms-%g-per-second-%d", name, l.vms, l.rate, seed), func(t *testing.T) {
					version := bad[name]
					if version == nil {
						version = underLoad(l.vms, l.rate)
					}
					f := newFleet(t, seed, l.vms, l.rate, version)
					f.order(newVersion, duration)
					f.startNew(l.vms)
					f.run(duration + 8*time.Second)
					if f.outcome() != order.RolledBack {
						t.Errorf("%s; steps %+v", f.outcome(), f.steps)
					}
					f.checkBad(duration)
				})
			}
		}
	}
}

// TestConductorDiesAtEachStep kills the daemon that conducts as soon as it has entered each step.
func TestConductorDiesAtEachStep(t *testing.T) {
	for at := conductor.Trial; at <= conductor.RollingBack; at++ {
		for name, version := range map[string]behaviour{"good": good, "errors": bad["errors"], "late": bad["late"]} {
			t.Run(at.String()+"-"+name, func(t *testing.T) {
				f := newFleet(t, 1, 30, 300, version)
				killed := false
				f.onStep = func(on *vm, s conductor.Step) {
					if s == at && !killed {
						on.dead, killed = true, true
					}
				}
				f.order(newVersion, duration)
				f.startNew(30)
				f.run(duration + 8*time.Second)
				want := order.RolledBack
				if name == "good" {
					want = order.Completed
				} else {
					f.checkBad(duration)
				}
				if f.outcome() != want {
					t.Errorf("%s, want %s; steps %+v", f.outcome(), want, f.steps)
				}
				if at := f.written[order.Completed]; name == "good" && at.Sub(f.orderedAt) > duration {
					t.Errorf("completed after %s; steps %+v", at.Sub(f.orderedAt), f.steps)
				}
			})
		}
	}
}

// TestStoreAwayAtEachStep takes the store away for some seconds at each step. No more than the bound goes to a bad
// version, and the outcome is stored once the store is back.
func TestStoreAwayAtEachStep(t *testing.T) {
	for at := conductor.Trial; at <= conductor.RollingBack; at++ {
		for name, version := range map[string]behaviour{"good": good, "errors": bad["errors"]} {
			t.Run(at.String()+"-"+name, func(t *testing.T) {
				f := newFleet(t, 2, 30, 300, version)
				var away time.Time
				f.onStep = func(_ *vm, s conductor.Step) {
					if s == at && away.IsZero() {
						away, f.storeAway = f.now, true
					}
				}
				f.order(newVersion, duration)
				f.startNew(30)
				for range 30 {
					f.run(time.Second)
					if f.storeAway && f.now.Sub(away) > 4*time.Second {
						f.storeAway = false
					}
				}
				want := order.RolledBack
				if name == "good" {
					want = order.Completed
				} else {
					f.checkBad(duration)
				}
				if f.outcome() != want {
					t.Errorf("%s, want %s; steps %+v", f.outcome(), want, f.steps)
				}
			})
		}
	}
}

// TestTwoConductors lets half of the daemons report to another conductor for half of the order's time.
func TestTwoConductors(t *testing.T) {
	for name, version := range map[string]behaviour{"good": good, "errors": bad["errors"], "late": bad["late"], "slow": bad["slow"]} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 3, 30, 300, version)
			f.order(newVersion, duration)
			f.startNew(30)
			for f.now.Sub(f.orderedAt) < duration/2 {
				f.run(step)
				for i, v := range f.vms {
					v.failures, v.failedAt = i%2, f.now
				}
			}
			f.run(duration/2 + 8*time.Second)
			if name != "good" {
				f.checkBad(duration)
				if f.outcome() != order.RolledBack {
					t.Errorf("%s; steps %+v", f.outcome(), f.steps)
				}
			} else if f.outcome() != order.Completed {
				t.Errorf("%s; steps %+v", f.outcome(), f.steps)
			}
		})
	}
}

// TestDaemonsThatAreCutOffSendNothing cuts half of the daemons off in the middle of the trial of a version that turns
// bad then.
func TestDaemonsThatAreCutOffSendNothing(t *testing.T) {
	f := newFleet(t, 4, 30, 300, bad["late"])
	f.order(newVersion, duration)
	f.startNew(30)
	f.run(3 * time.Second)
	for i, v := range f.vms {
		v.cut = i%2 == 1
	}
	f.run(3 * time.Second)
	for _, v := range f.vms {
		if v.cut && v.exposure.Share(f.now, service) > 0 {
			t.Errorf("%s still sends to the new version", v.id)
		}
	}
	f.run(duration)
	f.checkBad(duration)
}

func TestWithdrawnAndChangedOrders(t *testing.T) {
	f := newFleet(t, 5, 20, 200, good)
	f.order(newVersion, duration)
	f.startNew(20)
	f.run(5 * time.Second)
	if f.sentToNew == 0 {
		t.Fatal("the trial has not begun")
	}
	f.withdraw()
	f.run(3 * time.Second)
	before := f.sentToNew
	f.run(5 * time.Second)
	if f.sentToNew != before {
		t.Errorf("%d requests went to the new version after its order was withdrawn", f.sentToNew-before)
	}
	f.order(newVersion, 2*duration)
	f.run(2 * duration)
	if f.outcome() != order.Completed {
		t.Errorf("%s after the second order; steps %+v", f.outcome(), f.steps)
	}
	f.order("v3", duration)
	f.run(5 * time.Second)
	if f.outcome() != order.Running {
		t.Errorf("%s for a version without a backend server", f.outcome())
	}
}

// TestOrderBeforeItsBackendServers checks that an order waits for the first backend server of its version.
func TestOrderBeforeItsBackendServers(t *testing.T) {
	f := newFleet(t, 6, 20, 200, good)
	f.order(newVersion, duration)
	f.run(4 * time.Second)
	if f.outcome() != order.Running || f.sentToNew != 0 {
		t.Fatalf("%s, %d requests", f.outcome(), f.sentToNew)
	}
	f.startNew(20)
	f.run(duration - 4*time.Second)
	if f.outcome() != order.Completed {
		t.Errorf("%s; steps %+v", f.outcome(), f.steps)
	}
}

// TestTooFewBackendServersOfTheNewVersion checks that an order isn't completed while its version lacks room.
func TestTooFewBackendServersOfTheNewVersion(t *testing.T) {
	f := newFleet(t, 7, 30, 400, good)
	f.order(newVersion, duration)
	f.startNew(8)
	f.run(duration)
	if f.outcome() != order.Running {
		t.Errorf("%s with 8 of 30 backend servers; steps %+v", f.outcome(), f.steps)
	}
}
