package tally

import (
	"slices"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/verdict"
	"berylpass/fleet/backend"
	"berylpass/rollout/evidence"
	"berylpass/rollout/order"
)

func TestTally(t *testing.T) {
	began := time.Unix(1000, 0)
	b := backend.New("i-1", "rounds", "vm-1").WithVersion("v2")
	tally, number := New(), uint64(0)
	run := func(v verdict.Verdict) {
		number++
		attempt := id.New("vm-2", 1, number)
		tally.Started(began, attempt, b, "status")
		tally.Ended(began.Add(100*time.Millisecond), attempt, v)
	}
	key := order.Key{Name: "rounds", Service: "rounds", Target: "v2"}
	run(verdict.OK)
	tally.Watch(map[string]order.Key{"rounds": key})
	for _, v := range []verdict.Verdict{verdict.OK, verdict.OK, verdict.Error, verdict.Reset, verdict.Timeout, verdict.Shed, verdict.Cancelled} {
		run(v)
	}
	tally.Started(began, id.New("vm-3", 1, 1), b, "status")
	tally.Watch(map[string]order.Key{"rounds": key})
	r := tally.Reports(began.Add(time.Second), []backend.Backend{b, backend.New("i-2", "rounds", "vm-1")})
	want := []evidence.Cell{{Route: "status", Bucket: 13, Count: 2}, {Route: "status", Bucket: 13, Failed: true, Count: 3}}
	if len(r) != 2 || r[0].Version != "v2" || r[0].Sent != 8 || !slices.Equal(r[0].Cells, want) || r[1].Sent != 0 {
		t.Errorf("%+v", r)
	}
	if running := []evidence.Cell{{Route: "status", Bucket: 19, Count: 1}}; !slices.Equal(r[0].Running, running) {
		t.Errorf("running %+v", r[0].Running)
	}
	key.Target = "v3"
	tally.Watch(map[string]order.Key{"rounds": key})
	if r := tally.Reports(began, []backend.Backend{b}); r[0].Sent != 0 || len(r[0].Running) != 0 {
		t.Errorf("under another order: %+v", r)
	}
}
