package freshness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"berylpass/fleet/member"
)

const (
	// maxAge is the age of the proof from which requests with keys are refused.
	maxAge = 4300 * time.Millisecond
	// maxPropagation is the time within which a change must be in force everywhere.
	maxPropagation = 2 * time.Second
	// tick is the time between two calls of Tick.
	tick = 100 * time.Millisecond
	// readTime, askTime and failTime are the durations of a read, of a call that asks a
	// daemon, and of a read that fails.
	readTime = 4 * time.Millisecond
	askTime  = 2 * time.Millisecond
	failTime = time.Second
	// readersPerCentre is the number of readers in each data centre.
	readersPerCentre = 2
	// settleTime is the time before the ages of proof are measured.
	settleTime     = 10 * time.Second
	simulationTime = 60 * time.Second
)

// daemon is one daemon of a simulated fleet.
type daemon struct {
	*Freshness
	view View
	// proofAt is the start of the read that is its proof, -1 for none.
	proofAt time.Duration
	// refused makes the store fail the reads of this daemon.
	refused bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet simulates the daemons of several data centres in virtual time.
type fleet struct {
	now     time.Duration
	queue   events
	seq     int
	daemons map[member.ID]*daemon
	reads   int
	// maxProofAge is the greatest age of any daemon's proof, and maxNewestAge the greatest
	// age of the fleet's newest proof, both measured after settleTime.
	maxProofAge, maxNewestAge time.Duration
}

func (f *fleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now + d, seq: f.seq, run: run})
}

// newFleet returns a fleet with the given number of daemons in each data centre, of which
// the first readersPerCentre are readers.
func newFleet(datacentres, each int, seed uint64) *fleet {
	f := &fleet{daemons: map[member.ID]*daemon{}}
	random := rand.New(rand.NewPCG(seed, seed))
	var all []member.ID
	for d := range datacentres {
		for n := range each {
			all = append(all, member.ID(fmt.Sprintf("vm-%d-%d", d, n)))
		}
	}
	for i, id := range all {
		first := i / each * each
		v := View{Reader: i-first < readersPerCentre, Rank: first/each*readersPerCentre + i - first}
		for _, reader := range all[first : first+min(readersPerCentre, each)] {
			if reader != id {
				v.Readers = append(v.Readers, reader)
			}
		}
		for d := range datacentres {
			if d != first/each {
				v.RemoteReaders = append(v.RemoteReaders, all[d*each:d*each+min(readersPerCentre, each)]...)
			}
		}
		for range 8 {
			if other := all[random.IntN(len(all))]; other != id {
				v.Neighbours = append(v.Neighbours, other)
			}
		}
		x := &daemon{Freshness: New(0, rand.New(rand.NewPCG(seed, uint64(i)))), view: v, proofAt: -1}
		f.daemons[id] = x
		f.after(time.Duration(random.Int64N(int64(tick))), func() { f.tick(x) })
	}
	return f
}

// tick calls Tick for a daemon every 100 ms and simulates the reads and calls it returns.
func (f *fleet) tick(x *daemon) {
	f.after(tick, func() { f.tick(x) })
	x.view.Known, x.view.Age = x.proofAt >= 0, f.now-x.proofAt
	read, ask := x.Tick(f.now, x.view)
	start := f.now
	switch {
	case read && x.refused:
		f.reads++
		f.after(failTime, func() { x.RecordRead(start, Failed) })
	case read:
		f.reads++
		f.after(readTime, func() {
			x.RecordRead(start, Answered)
			x.proofAt = max(x.proofAt, start)
		})
	}
	if ask != "" {
		f.after(askTime, func() {
			x.RecordAsk(true)
			x.proofAt = max(x.proofAt, f.daemons[ask].proofAt)
		})
	}
}

// run simulates the fleet for simulationTime.
func (f *fleet) run() {
	for len(f.queue) > 0 && f.queue[0].at < simulationTime {
		e := heap.Pop(&f.queue).(event)
		if e.at > settleTime {
			f.measure(e.at)
		}
		f.now = e.at
		e.run()
	}
}

// measure updates the greatest ages of proof.
func (f *fleet) measure(now time.Duration) {
	newest, oldest := time.Duration(-1), now
	for _, x := range f.daemons {
		newest, oldest = max(newest, x.proofAt), min(oldest, x.proofAt)
	}
	f.maxNewestAge, f.maxProofAge = max(f.maxNewestAge, now-newest), max(f.maxProofAge, now-oldest)
}

// TestReadersKeepProofRecentWithFewReads guards against proof that gets too old and against
// reads that grow with the fleet. It simulates fleets of three sizes, with a store that
// answers all daemons and with one that refuses a third of them.
func TestReadersKeepProofRecentWithFewReads(t *testing.T) {
	for name, refused := range map[string]float64{"all": 0, "a third refused": 1. / 3} {
		t.Run(name, func(t *testing.T) {
			var reads []float64
			for _, size := range []struct{ datacentres, each int }{{3, 10}, {4, 25}, {9, 45}} {
				f := newFleet(size.datacentres, size.each, 1)
				random := rand.New(rand.NewPCG(9, 9))
				for _, id := range sorted(f.daemons) {
					f.daemons[id].refused = random.Float64() < refused
				}
				f.run()
				reads = append(reads, float64(f.reads)/simulationTime.Seconds())
				t.Logf("%d daemons: %.1f reads a second, age of proof at most %s, of the newest proof at most %s", len(f.daemons), reads[len(reads)-1], f.maxProofAge, f.maxNewestAge)
				if f.maxProofAge >= maxAge {
					t.Errorf("%d daemons: age of proof up to %s, want less than %s", len(f.daemons), f.maxProofAge, maxAge)
				}
				if f.maxNewestAge >= maxPropagation {
					t.Errorf("%d daemons: age of the newest proof up to %s, want less than %s", len(f.daemons), f.maxNewestAge, maxPropagation)
				}
			}
			// The number of daemons grows 13.5-fold, that of data centres 3-fold: reads must grow
			// more slowly than daemons.
			if growth := reads[len(reads)-1] / reads[0]; growth > 13.5/2 {
				t.Errorf("from 30 to 405 daemons, reads grow %.1f-fold, want at most 6.75-fold", growth)
			}
		})
	}
}

func sorted(daemons map[member.ID]*daemon) []member.ID {
	var out []member.ID
	for id := range daemons {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// TestNewDaemonAsksPeerBeforeReading checks that a new daemon asks a peer for proof first,
// and reads the store only if it got none.
func TestNewDaemonAsksPeerBeforeReading(t *testing.T) {
	f := New(time.Hour, rand.New(rand.NewPCG(1, 1)))
	read, ask := f.Tick(time.Hour, View{Neighbours: []member.ID{"vm-2"}})
	if read || ask != "vm-2" {
		t.Errorf("read %t, ask %q; want no read, and vm-2 to be asked", read, ask)
	}
	f.RecordAsk(true)
	if read, _ = f.Tick(time.Hour+maxFirstReadDelay, View{Known: true, Age: askAge}); read {
		t.Error("reads the store although it has recent proof")
	}
	if read, _ = f.Tick(time.Hour+maxFirstReadDelay, View{}); !read {
		t.Error("does not read the store although it got no proof")
	}
}

// TestFailedReadsBackOff checks that a daemon doesn't overload a store whose reads fail.
func TestFailedReadsBackOff(t *testing.T) {
	f := New(0, rand.New(rand.NewPCG(1, 1)))
	reads := 0
	for now := time.Duration(0); now < time.Minute; now += tick {
		if read, _ := f.Tick(now, View{Reader: true}); read {
			reads++
			f.RecordRead(now, Failed)
		}
	}
	if least, most := 15, 45; reads < least || reads > most {
		t.Errorf("%d reads in a minute, want %d to %d", reads, least, most)
	}
}

// TestOnlyTheFirstReaderAsksOtherRegions checks that proof is asked for in another region by the first reader of a region
// only, and that the others read the store if that one brings none.
func TestOnlyTheFirstReaderAsksOtherRegions(t *testing.T) {
	view := View{Age: 700 * time.Millisecond, Known: true, Reader: true, Rank: 3, Readers: []member.ID{"b-1"},
		RemoteReaders: []member.ID{"b-2", "b-3"}, AbroadReaders: []member.ID{"a-1", "a-2"}, Neighbours: []member.ID{"b-7"}}
	for _, first := range []bool{false, true} {
		view.FirstOfRegion = first
		f := New(0, rand.New(rand.NewPCG(1, 1)))
		abroad, now := 0, 10*time.Second
		for range 200 {
			now += askInterval
			if _, ask := f.Tick(now, view); ask == "a-1" || ask == "a-2" {
				abroad++
			}
			f.RecordAsk(true)
		}
		if first != (abroad > 0) {
			t.Errorf("first reader of its region: %v; %d of 200 calls went to another region", first, abroad)
		}
		view.Age = maxReaderReadAge + time.Millisecond
		if read, _ := f.Tick(now+askInterval, view); !read {
			t.Error("a reader with old proof doesn't read the store")
		}
		view.Age = 700 * time.Millisecond
	}
}
