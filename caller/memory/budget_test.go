package memory

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"berylpass/decision"
)

var start = time.Unix(1_000_000, 0)

func parts() Parts { return Parts{Heads: 100 << 10, Exchanges: 1 << 20, Long: 900 << 10} }

// TestBudgetAgainstOracle plays reservations, releases, pauses and departures, and checks that the
// limits are never passed, that each reservation gets one answer, that nobody waits while there
// is room, that nobody who keeps the pace is closed, and that nothing is left in the end.
func TestBudgetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{t: t, budget: New(parts()), now: start, pending: map[uint64]Reserve{}, granted: map[uint64][]Release{}, owes: map[uint64]bool{}, closing: map[uint64]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": o.reserve, "release": o.release, "leave": o.leave, "withdraw": o.withdraw, "due": o.due,
			"wait": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				o.update(Tick{})
			},
			"": o.check,
		})
		for holder := range uint64(8) {
			o.update(Left{Holder: holder})
		}
		if o.budget.used != [partCount]int64{} || o.budget.long != 0 || o.budget.leaving != 0 || o.budget.leavingLong != 0 || len(o.budget.accounts) != 0 || len(o.pending) != 0 {
			t.Fatalf("left over: %+v, unanswered %v", o.budget, o.pending)
		}
	})
}

type oracle struct {
	t       *rapid.T
	budget  *Budget
	now     time.Time
	ticket  uint64
	pending map[uint64]Reserve
	granted map[uint64][]Release
	// owes holds the holders that have bytes due.
	owes map[uint64]bool
	// closing holds the holders that were closed and haven't left.
	closing map[uint64]bool
}

func (o *oracle) update(e decision.Event) {
	if left, ok := e.(Left); ok {
		delete(o.granted, left.Holder)
		delete(o.owes, left.Holder)
		delete(o.closing, left.Holder)
	}
	for _, action := range o.budget.Update(o.now, e) {
		switch a := action.(type) {
		case Granted:
			r, ok := o.pending[a.Ticket]
			if !ok {
				o.t.Fatalf("ticket %d answered twice", a.Ticket)
			}
			delete(o.pending, a.Ticket)
			o.checkOrder(r)
			if o.closing[r.Holder] {
				o.t.Fatalf("holder %d got bytes after it was closed", r.Holder)
			}
			o.granted[r.Holder] = append(o.granted[r.Holder], Release{Holder: r.Holder, Part: r.Part, Bytes: r.Bytes})
		case Refused:
			if _, ok := o.pending[a.Ticket]; !ok {
				o.t.Fatalf("ticket %d answered twice", a.Ticket)
			}
			delete(o.pending, a.Ticket)
		case Close:
			if r, isReserve := e.(Reserve); (!isReserve || r.Part != Heads) && !o.owes[a.Holder] {
				o.t.Fatalf("holder %d was closed and owed nothing", a.Holder)
			}
			if o.closing[a.Holder] {
				o.t.Fatalf("holder %d was closed twice", a.Holder)
			}
			o.closing[a.Holder] = true
			o.granted[a.Holder] = slices.DeleteFunc(o.granted[a.Holder], func(e Release) bool { return e.Part == Heads })
		}
	}
}

// checkOrder checks that no reservation of the kind of r, which waited and is granted, has waited for longer.
func (o *oracle) checkOrder(r Reserve) {
	for _, w := range o.budget.waiting {
		if r.MayWait && w.Ticket < r.Ticket && w.Part == r.Part && isLong(w.Part, w.Bytes) == isLong(r.Part, r.Bytes) {
			o.t.Fatalf("%+v was granted before %+v", r, w)
		}
	}
}

func holderOf(t *rapid.T) uint64 { return rapid.Uint64Range(0, 7).Draw(t, "holder") }

func (o *oracle) reserve(t *rapid.T) {
	o.ticket++
	r := Reserve{Ticket: o.ticket, Holder: holderOf(t), Part: Part(min(rapid.IntRange(0, 3).Draw(t, "part"), 1))}
	// Few of them fill a part, so that most steps are played with little room.
	r.Bytes = 1<<10 + 59<<10*rapid.Int64Range(0, 1).Draw(t, "much") + rapid.Int64Range(0, 1000).Draw(t, "bytes")
	if r.Part == Exchanges && rapid.Bool().Draw(t, "long") {
		r.Bytes = []int64{100 << 10, 300 << 10, 500 << 10, 1 << 20}[rapid.IntRange(0, 3).Draw(t, "long bytes")]
	}
	r.MayWait = r.Part == Exchanges && rapid.IntRange(0, 3).Draw(t, "may wait") > 0
	o.pending[r.Ticket] = r
	o.update(r)
	if _, left := o.pending[r.Ticket]; left && !r.MayWait {
		t.Fatalf("%+v has no answer", r)
	}
}

func (o *oracle) release(t *rapid.T) {
	holder := holderOf(t)
	held := o.granted[holder]
	if len(held) == 0 {
		return
	}
	n := rapid.IntRange(0, len(held)-1).Draw(t, "which")
	e := held[n]
	o.granted[holder] = append(held[:n:n], held[n+1:]...)
	o.update(e)
}

func (o *oracle) leave(t *rapid.T) { o.update(Left{Holder: holderOf(t)}) }

func (o *oracle) withdraw(t *rapid.T) {
	for ticket := range o.pending {
		delete(o.pending, ticket)
		o.update(Withdraw{Ticket: ticket})
		return
	}
}

func (o *oracle) due(t *rapid.T) {
	holder := holderOf(t)
	if rapid.Bool().Draw(t, "settled") {
		delete(o.owes, holder)
		o.update(Settled{Holder: holder})
		return
	}
	o.owes[holder] = true
	o.update(Due{Holder: holder, Bytes: rapid.Int64Range(1, 1<<20).Draw(t, "due")})
	if rapid.Bool().Draw(t, "moved") {
		o.update(Moved{Holder: holder, Bytes: rapid.Int64Range(1, 1<<20).Draw(t, "moved bytes")})
	}
}

func (o *oracle) check(t *rapid.T) {
	b := o.budget
	var used [partCount]int64
	for _, list := range o.granted {
		for _, e := range list {
			used[e.Part] += e.Bytes
		}
	}
	if used != b.used {
		t.Fatalf("used %v, granted %v", b.used, used)
	}
	if b.used[Heads] > b.limits[Heads] || b.used[Exchanges] > b.limits[Exchanges] || b.long > b.longLimit {
		t.Fatalf("over the limits: %v, long %d", b.used, b.long)
	}
	seen := map[bool]bool{}
	for _, r := range b.waiting {
		long := isLong(r.Part, r.Bytes)
		if !seen[long] && b.fits(r) {
			t.Fatalf("%+v waits although it fits", r)
		}
		seen[long] = true
	}
	if len(b.waiting) != len(o.pending) {
		t.Fatalf("%d wait, %d have no answer", len(b.waiting), len(o.pending))
	}
}

// TestFarthestBehindIsClosedFirst checks the order: who reads nothing of the largest answer first, who keeps the pace not at all.
func TestFarthestBehindIsClosedFirst(t *testing.T) {
	b := New(parts())
	const large, small, paced = 1, 2, 3
	for holder, n := range map[uint64]int64{large: 400 << 10, small: 100 << 10, paced: 300 << 10} {
		b.Update(start, Reserve{Ticket: holder, Holder: holder, Part: Exchanges, Bytes: n, MayWait: true})
		b.Update(start, Due{Holder: holder, Bytes: n})
	}
	now := start.Add(Grace + 2*time.Second)
	b.Update(now, Moved{Holder: paced, Bytes: 2 * Pace})
	for _, test := range []struct {
		bytes  int64
		closed uint64
	}{{400 << 10, large}, {200 << 10, small}, {250 << 10, 0}} {
		b.Update(start.Add(time.Second), Tick{})
		var closed uint64
		for _, action := range b.Update(now, Reserve{Ticket: 10 + uint64(test.bytes), Holder: 10, Part: Exchanges, Bytes: test.bytes}) {
			if c, ok := action.(Close); ok {
				closed = c.Holder
				b.Update(now, Left{Holder: c.Holder})
				// Its room is free once it has left.
				b.Update(now, Reserve{Ticket: 20 + uint64(test.bytes), Holder: 10, Part: Exchanges, Bytes: test.bytes})
			}
		}
		if closed != test.closed {
			t.Errorf("for %d bytes holder %d was closed, want %d", test.bytes, closed, test.closed)
		}
	}
}

// TestBuffersDontExcuse checks that a holder that took much at once and nothing since is behind once Grace has passed.
func TestBuffersDontExcuse(t *testing.T) {
	b := New(parts())
	b.Update(start, Reserve{Ticket: 1, Holder: 1, Part: Exchanges, Bytes: 900 << 10})
	b.Update(start, Due{Holder: 1, Bytes: 900 << 10})
	b.Update(start, Moved{Holder: 1, Bytes: 600 << 10})
	for after, want := range map[time.Duration]bool{Grace: false, Grace + time.Second: true} {
		a := *b.accounts[1]
		if got := a.behind(start.Add(after)) > 0; got != want {
			t.Errorf("after %v: behind %t, want %t", after, got, want)
		}
	}
}

// TestShortReservationsFitBesideLongOnes checks that long reservations leave room to short ones.
func TestShortReservationsFitBesideLongOnes(t *testing.T) {
	b := New(parts())
	for n := range uint64(20) {
		b.Update(start, Reserve{Ticket: n, Holder: n, Part: Exchanges, Bytes: 100 << 10, MayWait: true})
	}
	actions := b.Update(start, Reserve{Ticket: 30, Holder: 30, Part: Exchanges, Bytes: ShortBytes})
	if len(actions) != 1 || actions[0] != (Granted{Ticket: 30}) {
		t.Errorf("got %v", actions)
	}
}

// TestLargestHeadIsClosedFirst checks that a short head that hasn't ended gets room from the longest one.
func TestLargestHeadIsClosedFirst(t *testing.T) {
	b := New(parts())
	for holder, n := range map[uint64]int64{1: 60 << 10, 2: 40 << 10} {
		b.Update(start, Reserve{Ticket: holder, Holder: holder, Part: Heads, Bytes: n})
	}
	actions := b.Update(start, Reserve{Ticket: 3, Holder: 3, Part: Heads, Bytes: 1 << 10})
	if len(actions) != 2 || actions[0].(Close).Holder != 1 || actions[1] != (Granted{Ticket: 3}) {
		t.Errorf("got %+v", actions)
	}
}

// TestDivide checks that the parts fit the memory, with room for garbage, and that the longest body that the
// users' pages name fits the smallest machine.
func TestDivide(t *testing.T) {
	for _, limit := range []int64{64 << 20, 128 << 20, 184 << 20, 536 << 20, 16 << 30} {
		p := Divide(limit)
		// Fixed includes the program, which the runtime's limit doesn't.
		if sum := p.Fixed + p.Connections + p.Heads + p.Exchanges; sum >= limit || p.Runtime >= limit || p.Long >= p.Exchanges {
			t.Errorf("%d: %+v, sum %d", limit, p, sum)
		}
	}
	if p := Divide(184 << 20); p.Long < 64<<20 {
		t.Errorf("long reservations get %d bytes of 184 MiB", p.Long)
	}
}
