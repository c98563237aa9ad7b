package spill

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

// feed reports the load ten times a second for d, and a low one of another region, and returns the time after it.
func feed(s *Spill, now time.Time, d time.Duration, load float64) time.Time {
	return feedBoth(s, now, d, load, 0.4)
}

// feedBoth is like feed with the load of another region; it reports none of that if it is negative.
func feedBoth(s *Spill, now time.Time, d time.Duration, load, abroad float64) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		s.Observe(now, "rounds", load)
		if abroad >= 0 {
			s.ObserveAbroad(now, "rounds", abroad)
		}
	}
	return now
}

// allowed returns how many of 1,000 requests may leave. It charges nothing.
func allowed(s *Spill, now time.Time, r Request) int {
	n := 0
	for range 1000 {
		if s.Allow(now, "rounds", r) {
			n++
		}
	}
	return n
}

var (
	light = Request{Here: 1.5, There: 0.5, Tried: true}
	heavy = Request{Here: 1.5, There: 0.5, Bytes: HeavyBytes + 1}
)

// TestNothingLeavesWhileTheRegionHasRoom checks that neither a region with free slots, nor a backend server with
// one in a full region, sends requests away, and that nothing leaves before anything is known.
func TestNothingLeavesWhileTheRegionHasRoom(t *testing.T) {
	s := New(1)
	s.SetRate(start, 1e6)
	now := start.Add(time.Second)
	if n := allowed(s, now, light); n > 0 {
		t.Errorf("%d of 1000 requests may leave before any report, want none", n)
	}
	now = feed(s, now, 10*time.Second, closeLoad-0.05)
	if n := allowed(s, now, light); n > 0 {
		t.Errorf("%d of 1000 requests may leave while slots are free, want none", n)
	}
	now = feed(s, now, 10*time.Second, 1.5)
	if n := allowed(s, now, Request{Here: 1, There: 0.2, Tried: true}); n > 0 {
		t.Errorf("%d of 1000 requests may leave although their backend server has a free slot, want none", n)
	}
	if n := allowed(s, now, Request{Here: 1.5, There: 0.5}); n > 0 {
		t.Errorf("%d of 1000 requests may leave although none was refused here, want none", n)
	}
	if n := allowed(s, now, Request{Here: 1.5, There: 1.4, Tried: true}); n > 0 {
		t.Errorf("%d of 1000 requests may leave to a region as full as theirs, want none", n)
	}
}

// TestCheapRequestsLeaveFirst checks that while the region lacks room light requests leave before heavy ones.
func TestCheapRequestsLeaveFirst(t *testing.T) {
	s := New(1)
	s.SetRate(start, 1e6)
	now := feed(s, start, 1500*time.Millisecond, 1.5)
	someLight, noHeavy := allowed(s, now, light), allowed(s, now, heavy)
	if someLight < 200 || someLight > 900 || noHeavy > 0 {
		t.Errorf("after 1.5 s %d light and %d heavy ones of 1000 may leave; want a part of the light ones only", someLight, noHeavy)
	}
	now = feed(s, now, 10*time.Second, 1.5)
	if l, h, a := allowed(s, now, light), allowed(s, now, heavy), allowed(s, now, Request{Here: 1.5, There: 0.5, LargeAnswer: true, Tried: true}); l < 1000 || h < 1000 || a < 1000 {
		t.Errorf("after 11.5 s %d light, %d heavy ones and %d with large answers of 1000 may leave; want all", l, h, a)
	}
}

// TestComesBackWithoutSwinging checks that between the two thresholds the fraction stays, that it falls to zero once the
// region has room, and that it does so too if reports stop.
func TestComesBackWithoutSwinging(t *testing.T) {
	s := New(1)
	s.SetRate(start, 1e6)
	now := feed(s, start, 10*time.Second, 1.5)
	now = feed(s, now, 8*time.Second, (openLoad+closeLoad)/2)
	held := s.Fraction(now, "rounds")
	now = feed(s, now, 8*time.Second, (openLoad+closeLoad)/2)
	if after := s.Fraction(now, "rounds"); held == 0 || after != held {
		t.Errorf("the fraction went from %.2f to %.2f while the load stayed between the thresholds", held, after)
	}
	back := feed(s, now, 6*time.Second, 0.5)
	if f := s.Fraction(back, "rounds"); f > 0 {
		t.Errorf("the fraction is %.2f after 6 s with free slots, want 0", f)
	}
	now = feed(s, back, 10*time.Second, 1.5)
	if f := s.Fraction(now.Add(10*time.Second), "rounds"); f > 0 {
		t.Errorf("the fraction is %.2f after 10 s without reports, want 0", f)
	}
}

// TestShareOfTheLinkIsKept checks that requests that leave use no more than this daemon's part of the share, with the
// saved bytes and one request more, also if the region has no backend server left.
func TestShareOfTheLinkIsKept(t *testing.T) {
	const rate, bytes = 50_000, 60_000
	for _, r := range []Request{{Here: 1.5, There: 0.5, Bytes: bytes, Tried: true}, {Here: math.Inf(1), There: 0.5, Bytes: bytes}} {
		s := New(1)
		s.SetRate(start, rate)
		now := feed(s, start, 12*time.Second, 1.5)
		sent, from := 0, now
		for ; now.Before(from.Add(30 * time.Second)); now = now.Add(20 * time.Millisecond) {
			s.Observe(now, "rounds", 1.5)
			s.ObserveAbroad(now, "rounds", 0.4)
			if s.Allow(now, "rounds", r) {
				s.Charge(now, bytes)
				sent += bytes
			}
		}
		if limit := rate*(30+int(burstTime.Seconds())) + bytes; sent > limit || sent < limit/2 {
			t.Errorf("%d bytes left in 30 s, want %d to %d", sent, limit/2, limit)
		}
		if s.Counts().Kept == 0 {
			t.Error("no request was counted as kept for lack of the share")
		}
	}
}

// TestRequestsWithoutHomeHereAreNotHeldBack checks that a request that must not run in this region leaves in any case.
func TestRequestsWithoutHomeHereAreNotHeldBack(t *testing.T) {
	s := New(1)
	if !s.Allow(start, "rounds", Request{Here: math.Inf(1), There: 3, Forced: true}) {
		t.Error("a request that must not run in this region was kept in it")
	}
}

// TestNothingLeavesToRegionsWithoutRoom checks that nothing leaves while other regions are known to be full as well, and that
// few requests, and no heavy ones, do while nothing is known of them.
func TestNothingLeavesToRegionsWithoutRoom(t *testing.T) {
	for _, c := range []struct {
		abroad   float64
		from, to int
	}{{1.2, 0, 0}, {-1, 10, 100}, {0.4, 1000, 1000}} {
		s := New(1)
		s.SetRate(start, 1e6)
		now := feedBoth(s, start, 10*time.Second, 1.5, c.abroad)
		if n := allowed(s, now, light); n < c.from || n > c.to {
			t.Errorf("load abroad %.1f (negative if unknown): %d of 1000 light requests may leave, want %d to %d", c.abroad, n, c.from, c.to)
		}
		if n := allowed(s, now, heavy); n > 0 && c.to < 1000 {
			t.Errorf("load abroad %.1f (negative if unknown): %d of 1000 heavy requests may leave, want none", c.abroad, n)
		}
	}
}

// TestHeavyRequestsThatAllRefuseStay checks that requests which all backend servers of their region have refused leave, if they
// are light, in part while nothing is known of other regions, and if they are heavy only to one that is known to have room.
func TestHeavyRequestsThatAllRefuseStay(t *testing.T) {
	for _, c := range []struct {
		abroad                float64
		from, to, heavyLeaves int
	}{{1.2, 0, 0, 0}, {-1, 200, 400, 0}, {0.4, 1000, 1000, 1000}} {
		s := New(1)
		s.SetRate(start, 1e6)
		now := feedBoth(s, start, 10*time.Second, 0.5, c.abroad)
		l := allowed(s, now, Request{Here: math.Inf(1), There: 0.5, Tried: true, Exhausted: true})
		h := allowed(s, now, Request{Here: math.Inf(1), There: 0.5, Tried: true, Exhausted: true, Bytes: HeavyBytes + 1})
		if l < c.from || l > c.to || h != c.heavyLeaves {
			t.Errorf("load abroad %.1f (negative if unknown): %d light and %d heavy ones of 1000 leave; want %d to %d, and %d", c.abroad, l, h, c.from, c.to, c.heavyLeaves)
		}
	}
}
