// Package freshness decides when a daemon reads the platform's store, and when it asks
// another daemon, for proof that its configuration is the newest.
//
// The proof is a read of the store that was answered; its age counts from the start of the
// read. Daemons pass proof on. A few daemons in each data centre, the readers, read for
// all. The readers of the fleet are ordered by ID: the first one reads at the lowest age
// of its proof, each next one at a higher age, and so only if those before it have failed,
// since the store may refuse some daemons and answer others. Readers ask each other. All
// other daemons mostly ask the readers of their own data centre, and read the store
// themselves only if they get no recent proof.
//
// This serves a large fleet in which a withdrawn key must stop working everywhere within
// seconds, while the calls to the store, of which each is counted, must be few.
//
// # Usage
//
//	f := freshness.New(now, random)
//	read, ask := f.Tick(now, freshness.View{Age: age, Known: true, Reader: true, Neighbours: ids})
//	// after a read: f.RecordRead(start, freshness.Answered); after asking: f.RecordAsk(err == nil)
//
// Times are readings of a monotonic clock that also counts the time for which the VM is
// suspended. A Freshness is not safe for concurrent use.
package freshness

import (
	"math/rand/v2"
	"slices"
	"time"

	"berylpass/fleet/member"
)

const (
	// minReaderReadAge is the age of the proof from which the first reader reads the store.
	// readerRankStep is added for each reader that comes before this one, up to
	// maxReaderReadAge in all. A change must be in force 2 s after it was acknowledged.
	minReaderReadAge = 800 * time.Millisecond
	readerRankStep   = 250 * time.Millisecond
	maxReaderReadAge = 1800 * time.Millisecond
	// minNonReaderReadAge and maxNonReaderReadAge bound the age of the proof from which a daemon that
	// is no reader reads the store; the age is drawn anew after each read. Requests with
	// keys are refused from an age of 4.3 s, and a read may take a second.
	minNonReaderReadAge = 2600 * time.Millisecond
	maxNonReaderReadAge = 3200 * time.Millisecond
	// askAge is the age of the proof from which another daemon is asked for a later one.
	askAge = 350 * time.Millisecond
	// askInterval is the least time between two calls that ask another daemon,
	// startAskInterval the same while there is no proof yet.
	askInterval      = 300 * time.Millisecond
	startAskInterval = 100 * time.Millisecond
	// maxFirstReadDelay bounds the time for which a new daemon only asks others for proof,
	// before it may read the store.
	maxFirstReadDelay = 400 * time.Millisecond
	// neighbourShare is the share of calls that go to neighbours instead of readers, so that
	// proof reaches a data centre whose readers have none.
	neighbourShare = 0.2
	// firstReaderShare is the share of a reader's other calls that go to the first reader.
	firstReaderShare = 0.5
	// maxBackoff bounds a reader's back-off between reads that fail, before jitter.
	maxBackoff = 3 * time.Second
	// minNonReaderPause and maxNonReaderPause bound the pause of a daemon that is no reader after its read has failed. While
	// the store is away, the readers try on for all; hundreds of other daemons that did so would make most of a day's calls.
	minNonReaderPause = 8 * time.Second
	maxNonReaderPause = 16 * time.Second
	// maxDoublings bounds how often the back-off is doubled.
	maxDoublings = 4
)

// Outcome is how a read of the store ended.
type Outcome uint8

// The outcomes of a read.
const (
	// Answered means that the store returned a configuration: the read is proof.
	Answered Outcome = iota
	// Empty means that the store answered and holds no configuration yet.
	Empty
	// Failed means that the store refused the read or didn't answer.
	Failed
)

// View is what a daemon knows at a tick.
type View struct {
	// Age is the age of its proof; Known is false if it has none.
	Age   time.Duration
	Known bool
	// Reader is true if the daemon is one of its data centre's readers: the daemons that
	// package roster calls watchers. Rank is the number of readers of the fleet that come
	// before it in the order of their IDs.
	Reader bool
	Rank   int
	// Readers holds the other readers of its data centre, RemoteReaders those of the other
	// data centres, and Neighbours other daemons of the fleet.
	Readers, RemoteReaders, Neighbours []member.ID
	// AbroadReaders holds the readers of other regions; RemoteReaders holds only those of the own one then. They are
	// asked by the first reader of a region alone, which FirstOfRegion says of this daemon, so that proof crosses the
	// link between regions once for each region.
	AbroadReaders []member.ID
	FirstOfRegion bool
}

// Freshness is the state of one daemon.
type Freshness struct {
	random *rand.Rand
	// nonReaderReadAge is the age of the proof from which this daemon reads the store if it is
	// no reader. readSoon makes it read at any age.
	nonReaderReadAge time.Duration
	readSoon         bool
	// readNotBefore is the earliest time of the next read, askNotBefore that of the next
	// call to another daemon.
	readNotBefore, askNotBefore time.Duration
	// failures counts the reads that have failed in a row.
	failures int
	// reader is the value of View.Reader at the last tick.
	reader bool
	// reading and asking are true while a read, or a call to another daemon, is under way.
	reading, asking bool
	// askNeighbour is true if the last call was not answered; the next one then goes to a
	// neighbour.
	askNeighbour bool
}

// New returns the state of a daemon that starts at now.
func New(now time.Duration, random *rand.Rand) *Freshness {
	f := &Freshness{random: random}
	f.nonReaderReadAge, f.readNotBefore = f.randomBetween(minNonReaderReadAge, maxNonReaderReadAge), now+f.randomBetween(0, maxFirstReadDelay)
	return f
}

// Tick returns whether to read the store now, and which daemon to ask for proof, "" for
// none. The caller must call RecordRead after each read and RecordAsk after each call of a daemon.
func (f *Freshness) Tick(now time.Duration, v View) (read bool, ask member.ID) {
	f.reader = v.Reader
	if !f.reading && now >= f.readNotBefore && (!v.Known || v.Age > f.readAge(v)) {
		f.reading, read = true, true
	}
	if !f.asking && now >= f.askNotBefore && (!v.Known || v.Age > askAge) {
		ask = f.pickPeer(v)
	}
	if ask != "" {
		f.asking = true
		f.askNotBefore = now + askInterval
		if !v.Known {
			f.askNotBefore = now + startAskInterval
		}
	}
	return read, ask
}

// RecordRead records the outcome of a read that began at start.
func (f *Freshness) RecordRead(start time.Duration, o Outcome) {
	f.reading, f.readSoon, f.nonReaderReadAge = false, false, f.randomBetween(minNonReaderReadAge, maxNonReaderReadAge)
	switch o {
	case Answered:
		f.failures, f.readNotBefore = 0, 0
	case Empty:
		f.readNotBefore = start + f.randomBetween(minReaderReadAge, maxReaderReadAge)
	case Failed:
		f.failures++
		if !f.reader {
			f.readNotBefore = start + f.randomBetween(minNonReaderPause, maxNonReaderPause)
			return
		}
		pause := min(minReaderReadAge<<min(f.failures, maxDoublings), maxBackoff)
		f.readNotBefore = start + f.randomBetween(pause/2, pause*3/2)
	}
}

// RecordAsk records whether the daemon that was asked has answered.
func (f *Freshness) RecordAsk(answered bool) { f.asking, f.askNeighbour = false, !answered }

// ReadSoon makes the next read due at the next tick, or when the back-off after failures
// has ended. It is called if the store probably holds a new revision.
func (f *Freshness) ReadSoon() { f.readSoon = true }

// readAge returns the age of the proof from which the store is read.
func (f *Freshness) readAge(v View) time.Duration {
	switch {
	case f.readSoon:
		return 0
	case v.Reader:
		return min(minReaderReadAge+time.Duration(v.Rank)*readerRankStep, maxReaderReadAge)
	}
	return f.nonReaderReadAge
}

// pickPeer returns the daemon to ask, "" if there is none: mostly a reader, and, if this
// daemon is a reader itself, often the first one, which should have the latest proof.
func (f *Freshness) pickPeer(v View) member.ID {
	candidates := v.Readers
	if v.Reader {
		candidates = slices.Concat(v.Readers, v.RemoteReaders)
		if v.FirstOfRegion {
			candidates = append(candidates, v.AbroadReaders...)
		}
		slices.Sort(candidates)
	}
	switch {
	case len(candidates) == 0 || f.askNeighbour || f.random.Float64() < neighbourShare:
		candidates = v.Neighbours
	case v.Reader && f.random.Float64() < firstReaderShare:
		return candidates[0]
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[f.random.IntN(len(candidates))]
}

// randomBetween returns a random duration from least to most.
func (f *Freshness) randomBetween(least, most time.Duration) time.Duration {
	return least + time.Duration(f.random.Float64()*float64(most-least))
}
