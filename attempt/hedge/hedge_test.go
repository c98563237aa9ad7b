package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestDelayIsThePercentile(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	h, now := New(), time.Unix(1_700_000_000, 0)
	var times []time.Duration
	for range 2000 {
		took := time.Duration(random.ExpFloat64() * float64(20*time.Millisecond))
		times = append(times, took)
		h.Observe(now, took)
	}
	slices.Sort(times)
	exact := times[int(Percentile*2000)-1]
	delay, ok := h.Delay(now)
	if !ok || delay < exact || float64(delay) > 1.1*float64(exact) {
		t.Errorf("delay %v, %t; want from %v to a tenth more", delay, ok, exact)
	}
}

func TestAnswersExpireAfterTwoWindows(t *testing.T) {
	h, now := New(), time.Unix(1_700_000_000, 0)
	for range 100 {
		h.Observe(now, time.Second)
	}
	now = now.Add(Window)
	if delay, ok := h.Delay(now); !ok || delay < time.Second {
		t.Errorf("after one window: %v, %t", delay, ok)
	}
	now = now.Add(Window)
	if delay, ok := h.Delay(now); ok {
		t.Errorf("after two windows: %v", delay)
	}
	for range MinSamples - 1 {
		h.Observe(now, time.Hour)
	}
	if _, ok := h.Delay(now); ok {
		t.Error("got a delay from fewer than MinSamples answers")
	}
}
