package fairqueue_test

import (
	"fmt"
	"testing"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/fairqueue"
	"berylpass/choice/urgency"
)

// TestUrgentLevelsGoFirst keeps all levels queued: each must go before the less urgent ones, and the least urgent must
// still get a part.
func TestUrgentLevelsGoFirst(t *testing.T) {
	const turns = 10_000
	for first := urgency.First; first < urgency.Fourth; first++ {
		q := fairqueue.New(fairqueue.WithPrecedence())
		for l := first; l <= urgency.Fourth; l++ {
			q.Push(fairqueue.Item{ID: id.New("vm", 1, uint64(l)), Rank: rank(l, "a"), Cost: time.Second})
		}
		var served [urgency.Count]int
		for range turns {
			item, _ := q.Pop(start, urgency.Fourth)
			served[item.Rank.Level]++
			q.Push(item)
		}
		for l := first; l < urgency.Fourth; l++ {
			if served[l] < 2*served[l+1] || served[l+1] < turns/200 {
				t.Errorf("while %v to fourth were queued, they got %v of %d turns", first, served, turns)
			}
		}
	}
}

// TestCallsGoFirst checks that calls go before newcomers of any level, those of urgent requests before others, and
// that nothing else runs while the slots that are left are kept for calls.
func TestCallsGoFirst(t *testing.T) {
	q := fairqueue.New(fairqueue.WithPrecedence())
	push := func(n uint64, r urgency.Rank) {
		q.Push(fairqueue.Item{ID: id.New("vm", 1, n), Rank: r, Cost: time.Second})
	}
	push(1, urgency.Of(0, "a"))
	push(2, urgency.Of(2, "a").OfCall())
	push(3, urgency.Of(0, "b").OfCall())
	var got []uint64
	for {
		item, ok := q.Pop(start, urgency.Call)
		if !ok {
			break
		}
		got = append(got, item.ID.Request)
	}
	if fmt.Sprint(got) != "[3 2]" || q.Len() != 1 {
		t.Errorf("calls ran in the order %v, with %d other requests left, want [3 2] and 1", got, q.Len())
	}
}

// TestRequestsInTimeGoFirst checks that a request whose answer would be late anyway lets those of its level pass that
// can still be answered within their target, but not for ever.
func TestRequestsInTimeGoFirst(t *testing.T) {
	q := fairqueue.New(fairqueue.WithPrecedence())
	push := func(n uint64, target time.Duration) {
		q.Push(fairqueue.Item{ID: id.New("vm", 1, n), Rank: rank(urgency.First, "a"), Cost: time.Second, Target: start.Add(target)})
	}
	push(0, 0)
	for n := range uint64(20) {
		push(n+1, time.Hour)
	}
	late := 0
	for n := range 20 {
		if item, _ := q.Pop(start, urgency.Fourth); item.ID.Request == 0 {
			late = n + 1
			break
		}
	}
	if late < 2 || late > 8 {
		t.Errorf("the late request ran as number %d, want it after others and within 8", late)
	}
}

// TestLeastUrgentIsDisplaced checks which request makes room in a full queue.
func TestLeastUrgentIsDisplaced(t *testing.T) {
	q := fairqueue.New(fairqueue.WithPrecedence())
	for n := range uint64(3) {
		q.Push(fairqueue.Item{ID: id.New("second", 1, n), Rank: rank(urgency.Second, fmt.Sprint(n))})
		q.Push(fairqueue.Item{ID: id.New("third", 1, n), Rank: rank(urgency.Third, fmt.Sprint(n))})
	}
	for _, want := range []string{"third", "second", ""} {
		got, ok := q.Victim(rank(urgency.First, "9"), time.Second)
		if string(got.Ingress) != want || ok != (want != "") {
			t.Errorf("displaced for an urgent request: %v, want one of level %q", got, want)
		}
		q.Remove(got)
	}
	if got, ok := q.Victim(rank(urgency.Third, "9"), time.Second); ok {
		t.Errorf("displaced for a request of the third level: %v, want none", got)
	}
}

// TestCallsOfLessUrgentRunsGetAPart keeps calls of the most and of the least urgent runs queued. The latter hold slots
// elsewhere until their calls end, so some of them must be served as well.
func TestCallsOfLessUrgentRunsGetAPart(t *testing.T) {
	const turns = 10_000
	q := fairqueue.New(fairqueue.WithPrecedence())
	for n, priority := range []int{0, 3} {
		q.Push(fairqueue.Item{ID: id.New("vm", 1, uint64(n)), Rank: urgency.Of(priority, fmt.Sprint(priority)).OfCall(), Cost: time.Second})
	}
	served := map[urgency.Level]int{}
	for range turns {
		item, _ := q.Pop(start, urgency.Fourth)
		served[item.Rank.Inherited]++
		q.Push(item)
	}
	if served[urgency.Fourth] < turns/200 {
		t.Errorf("calls of runs of the fourth level got %d of %d turns, want at least %d", served[urgency.Fourth], turns, turns/200)
	}
}

// TestUrgentCallGoesFirstWithinAnOrganisation checks that a call of an urgent run goes before those of less urgent runs of the
// same organisation, as it does before those of other organisations.
func TestUrgentCallGoesFirstWithinAnOrganisation(t *testing.T) {
	q := fairqueue.New(fairqueue.WithPrecedence())
	for n, priority := range []int{3, 3, 0} {
		q.Push(fairqueue.Item{ID: id.New("vm", 1, uint64(n)), Rank: urgency.Of(priority, "a").OfCall(), Cost: time.Second})
	}
	if got, _ := q.Pop(start, urgency.Fourth); got.Rank.Inherited != urgency.First {
		t.Errorf("a call of a run of the %v level went first, want that of the first", got.Rank.Inherited)
	}
}

// TestCallsAreRankedByTheRequestsThatMakeThem checks that calls of urgent requests go before others of the same
// organisation, whichever came first, and that the others still get a part while urgent ones keep coming.
func TestCallsAreRankedByTheRequestsThatMakeThem(t *testing.T) {
	q := fairqueue.New(fairqueue.WithPrecedence())
	next := uint64(0)
	push := func(r urgency.Rank) {
		next++
		q.Push(fairqueue.Item{ID: id.New("vm", 1, next), Rank: r, Cost: time.Second})
	}
	for range 3 {
		push(urgency.Of(2, "a").OfCall())
	}
	push(urgency.Of(0, "a").OfCall())
	if item, _ := q.Pop(start, urgency.Call); item.Rank.Inherited != urgency.First {
		t.Errorf("the first call to run is one of the level %v", item.Rank.Inherited)
	}
	const turns = 1000
	others := 0
	for range turns {
		push(urgency.Of(0, "a").OfCall())
		push(urgency.Of(0, "b").OfCall())
		if item, _ := q.Pop(start, urgency.Fourth); item.Rank.Inherited != urgency.First {
			others++
			push(urgency.Of(2, "a").OfCall())
		}
	}
	if others < turns/100 || others > turns/20 {
		t.Errorf("calls of the third level got %d of %d turns beside those of the first, want about one in 50", others, turns)
	}
}
