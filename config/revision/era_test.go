package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"berylpass/config/datacentre"
	"berylpass/config/outage"
	"berylpass/config/snapshot"
	"berylpass/fleet/member"
	"berylpass/store/object"
)

// content is what a store with eras holds: the operators' configuration, by its number, and whether the data centre konin is
// out of service.
type content struct {
	Number, Revision uint64
	Out              bool
	// last is the last revision given out.
	last uint64
}

// eraStore is a Store, its Outages and its Verifier, in an era. It may be away.
type eraStore struct {
	mu      sync.Mutex
	era     uint64
	current content
	away    bool
}

func (s *eraStore) change(apply func(*content)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.last++
	apply(&s.current)
}

func (s *eraStore) write(number uint64) {
	s.change(func(c *content) { c.Number, c.Revision = number, c.last })
}

func (s *eraStore) setOut(out bool) { s.change(func(c *content) { c.Out = out }) }

func (s *eraStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *eraStore) copied() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// goOnFrom begins the next era with a copy.
func (s *eraStore) goOnFrom(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.current, s.away = c, false
}

func (s *eraStore) Get(context.Context, string) (object.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return object.Object{}, object.ErrUnavailable
	}
	c := s.current
	c.Revision = object.VersionIn(s.era, c.Revision)
	text, err := json.Marshal(c)
	return object.Object{Version: c.Revision, Value: text}, err
}

func (s *eraStore) OutOfService(context.Context) (names []string, asOf uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, 0, object.ErrUnavailable
	}
	if s.current.Out {
		names = []string{"konin"}
	}
	return names, object.VersionIn(s.era, s.current.last), nil
}

func (s *eraStore) Open(_ context.Context, text []byte, _ func(context.Context, [32]byte) ([]byte, error)) (snapshot.Snapshot, error) {
	var c content
	if err := json.Unmarshal(text, &c); err != nil {
		return snapshot.Snapshot{}, err
	}
	return snapshot.New(c.Revision).WithNumber(c.Number).WithDatacentre(datacentre.New("konin", "wielkopolska")).Index(), nil
}

// cutStore is an eraStore that one daemon may be cut off from.
type cutStore struct {
	*eraStore
	cut func() bool
}

func (s cutStore) Get(ctx context.Context, key string) (object.Object, error) {
	if s.cut() {
		return object.Object{}, object.ErrUnavailable
	}
	return s.eraStore.Get(ctx, key)
}

func (s cutStore) OutOfService(ctx context.Context) ([]string, uint64, error) {
	if s.cut() {
		return nil, 0, object.ErrUnavailable
	}
	return s.eraStore.OutOfService(ctx)
}

const (
	// modelDaemons is the number of daemons of the model, of which the first modelReaders read the store.
	modelDaemons, modelReaders = 4, 2
	// modelProofAge is the age of the proof from which requests with keys are refused, as on the platform.
	modelProofAge = 4300 * time.Millisecond
)

// eraFleet is a fleet whose store goes on from older copies.
type eraFleet struct {
	store   *eraStore
	started time.Time

	mu      sync.Mutex
	daemons [modelDaemons]*Follower
	cut     [modelDaemons]bool
	// highest is the highest number in force at each daemon since its start.
	highest [modelDaemons]uint64
	// acknowledged are the times at which the numbers, from 1 on, and the evacuation were acknowledged; the time of the
	// evacuation is zero if there is none.
	acknowledged []time.Time
	evacuated    time.Time
	// written is when the operators have last written the evacuation, at first or again after a drill.
	written time.Time
	// out are the daemons that have put the evacuation in force since their start, outSince is since when there has always been
	// one. begun are the starts of the daemons.
	out      [modelDaemons]bool
	outSince time.Time
	begun    [modelDaemons]time.Time
}

// eraView is one daemon's view of an eraFleet. It is its Fleet and its Caller.
type eraView struct {
	fleet *eraFleet
	index int
}

func eraDaemon(i int) member.ID { return member.ID(fmt.Sprintf("vm-%d", i)) }

func (v eraView) Self() member.ID                       { return eraDaemon(v.index) }
func (v eraView) RecordsRead() bool                     { return true }
func (v eraView) WatchesStore() bool                    { return v.index < modelReaders }
func (v eraView) Isolated(time.Time) bool               { return false }
func (v eraView) SetRevision(uint64)                    {}
func (v eraView) OnRevision(func(uint64, member.ID))    {}
func (v eraView) Neighbours() []member.ID               { return v.others(modelDaemons) }
func (v eraView) Watchers() (local, remote []member.ID) { return v.others(modelReaders), nil }

func (v eraView) others(n int) (others []member.ID) {
	for i := range n {
		if i != v.index {
			others = append(others, eraDaemon(i))
		}
	}
	return others
}

func (v eraView) Call(_ context.Context, to member.ID, method string, args, reply any) error {
	v.fleet.mu.Lock()
	at := slices.IndexFunc(v.fleet.daemons[:], func(f *Follower) bool { return f != nil && f.fleet.Self() == to })
	if at < 0 {
		v.fleet.mu.Unlock()
		return errors.New("no such daemon")
	}
	r := v.fleet.daemons[at].Receiver()
	v.fleet.mu.Unlock()
	switch method {
	case noticeMethod:
		return r.Notice(args.(Notice), reply.(*Notice))
	case manifestMethod:
		return r.Manifest(args.(Request), reply.(*Document))
	case proofMethod:
		return r.Proof(args.(Notice), reply.(*Proof))
	}
	return errors.New("no such method")
}

// start starts a daemon, or starts it again.
func (f *eraFleet) start(i int) {
	f.stop(i)
	view := eraView{fleet: f, index: i}
	store := cutStore{eraStore: f.store, cut: func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.cut[i]
	}}
	d := New(store, view, view, store, WithProof(store, modelProofAge, func() time.Duration { return time.Since(f.started) }))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i], f.highest[i], f.out[i], f.begun[i] = d, 0, false, time.Now()
}

func (f *eraFleet) stop(i int) {
	f.mu.Lock()
	d := f.daemons[i]
	f.daemons[i] = nil
	f.mu.Unlock()
	if d != nil {
		d.Close()
	}
}

// check returns an error if a daemon has gone back to an older configuration, serves requests with keys by one that is too
// old, or uses an evacuated data centre.
func (f *eraFleet) check() error {
	const slack = time.Second
	now := time.Now()
	for i, d := range f.daemons {
		s := d.Current()
		if s.Number < f.highest[i] {
			return fmt.Errorf("daemon %d went from r%d back to r%d", i, f.highest[i], s.Number)
		}
		f.highest[i] = s.Number
		if d.Ready(now) != nil {
			continue
		}
		for n, at := range f.acknowledged {
			if number := uint64(n + 1); number > s.Number && now.Sub(at) > modelProofAge+slack {
				return fmt.Errorf("daemon %d is ready with r%d, %s after r%d was acknowledged", i, s.Number, now.Sub(at), number)
			}
		}
	}
	return f.checkOutage(now)
}

// checkOutage returns an error if a daemon has put an evacuated data centre back into service, or uses it although another one has
// known of the evacuation for some time, or long after the evacuation was written.
func (f *eraFleet) checkOutage(now time.Time) error {
	const spreadTime, writtenTime = 5 * time.Second, 6 * time.Second
	if f.evacuated.IsZero() {
		return nil
	}
	for i, d := range f.daemons {
		if errors.Is(d.Ready(now), ErrNoConfiguration) {
			continue
		}
		if out := !d.Current().InService("konin"); out {
			f.out[i] = true
			continue
		}
		if f.out[i] {
			return fmt.Errorf("daemon %d has put an evacuated data centre back into service", i)
		}
		if d.Ready(now) != nil || now.Sub(f.begun[i]) < spreadTime {
			continue
		}
		if known := now.Sub(f.outSince); !f.outSince.IsZero() && known > spreadTime {
			return fmt.Errorf("daemon %d uses a data centre %s after another one knew of its evacuation", i, known)
		}
		if written := now.Sub(f.written); written > writtenTime {
			return fmt.Errorf("daemon %d uses a data centre %s after its evacuation was written", i, written)
		}
	}
	switch known := slices.Contains(f.out[:], true); {
	case !known:
		f.outSince = time.Time{}
	case f.outSince.IsZero():
		f.outSince = now
	}
	return nil
}

// step is a step of the model: an operation and the time that passes after it.
type step struct {
	Operation string
	Daemon    int
	Lasts     time.Duration
}

// run carries out the steps and checks the fleet all the while.
func (f *eraFleet) run(steps []step) error {
	f.acknowledged = []time.Time{time.Now()}
	f.store.write(1)
	for i := range modelDaemons {
		f.start(i)
	}
	defer func() {
		for i := range modelDaemons {
			f.stop(i)
		}
	}()
	if err := f.wait(10 * time.Second); err != nil {
		return err
	}
	saved := f.store.copied()
	for _, s := range steps {
		switch s.Operation {
		case "write":
			f.acknowledged = append(f.acknowledged, time.Now())
			f.store.write(uint64(len(f.acknowledged)))
		case "evacuate":
			f.store.setOut(true)
			if f.evacuated.IsZero() {
				f.evacuated, f.written = time.Now(), time.Now()
			}
		case "take back":
			f.store.setOut(false)
			f.evacuated, f.outSince = time.Time{}, time.Time{}
			// All daemons must have seen it before the next evacuation, so that the two can be told apart.
			if err := f.wait(outage.HoldTime + 5*time.Second); err != nil {
				return err
			}
			f.out = [modelDaemons]bool{}
		case "copy":
			saved = f.store.copied()
		case "cut", "heal":
			f.mu.Lock()
			f.cut[s.Daemon] = s.Operation == "cut"
			f.mu.Unlock()
		case "restart":
			f.start(s.Daemon)
		case "drill", "drill and restart":
			restarted := -1
			if s.Operation != "drill" {
				restarted = s.Daemon
			}
			if err := f.drill(saved, s.Lasts*3/2, restarted); err != nil {
				return err
			}
		}
		if err := f.wait(s.Lasts); err != nil {
			return fmt.Errorf("after %q: %w", s.Operation, err)
		}
	}
	return f.converge()
}

// drill lets the store be away for some time and come back from a copy. A daemon may restart then. The operators write again
// some time later.
func (f *eraFleet) drill(saved content, away time.Duration, restarted int) error {
	rewriteDelay := f.rewriteDelay(restarted)
	f.store.setAway(true)
	if err := f.wait(away); err != nil {
		return fmt.Errorf("while the store is away: %w", err)
	}
	f.store.goOnFrom(saved)
	if restarted >= 0 {
		f.start(restarted)
	}
	if err := f.wait(rewriteDelay); err != nil {
		return fmt.Errorf("after the store is back: %w", err)
	}
	f.store.write(uint64(len(f.acknowledged)))
	f.store.setOut(!f.evacuated.IsZero())
	f.written = time.Now()
	return nil
}

// rewriteDelay returns the time after which the operators write again. If no daemon has the newest configuration and outages,
// none can know that the copy lacks them: then they must be written again before the new era counts as settled.
func (f *eraFleet) rewriteDelay(restarted int) time.Duration {
	for i, d := range f.daemons {
		s := d.Current()
		if i != restarted && s.Number == uint64(len(f.acknowledged)) && s.InService("konin") == f.evacuated.IsZero() {
			return 2 * settleTime
		}
	}
	return settleTime * 3 / 4
}

// wait lets time pass and checks the fleet.
func (f *eraFleet) wait(d time.Duration) error {
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(interval)
		if err := f.check(); err != nil {
			return err
		}
	}
	return nil
}

// converge connects all daemons and checks that all come to have the newest configuration, with proof.
func (f *eraFleet) converge() error {
	f.mu.Lock()
	f.cut = [modelDaemons]bool{}
	f.mu.Unlock()
	if err := f.wait(30 * time.Second); err != nil {
		return err
	}
	for i, d := range f.daemons {
		s := d.Current()
		if err := d.Ready(time.Now()); err != nil || s.Number != uint64(len(f.acknowledged)) || s.InService("konin") != f.evacuated.IsZero() {
			return fmt.Errorf("daemon %d ends with r%d of r%d, konin in service %t: %w", i, s.Number, len(f.acknowledged), s.InService("konin"), err)
		}
	}
	return nil
}

// TestEras plays drills, cuts, restarts and writes whose revisions have been given out before. In each run of a daemon the
// configuration never becomes older, and an evacuated data centre isn't put back into service; no daemon serves requests with keys
// by a configuration that was replaced longer ago than a proof may be old; and in the end all daemons have the newest of both. A
// longer run:
//
//	go test ./config/revision -run TestEras -rapid.checks=2000 -rapid.seed=7
func TestEras(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				Operation: rapid.SampledFrom([]string{"write", "write", "copy", "drill", "drill and restart", "cut", "heal", "restart", "evacuate", "take back", "wait"}).Draw(rt, "operation"),
				Daemon:    rapid.IntRange(0, modelDaemons-1).Draw(rt, "daemon"),
				Lasts:     time.Duration(rapid.IntRange(0, 40).Draw(rt, "tenths")) * 100 * time.Millisecond,
			}
		}), 1, 20).Draw(rt, "steps")
		var err error
		synctest.Test(t, func(*testing.T) {
			f := &eraFleet{store: &eraStore{era: 1}, started: time.Now().Add(-time.Hour)}
			err = f.run(steps)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// startAlone starts a daemon without peers that has the configuration r1 of the store, which is in its second era. It must be
// called in a bubble of synctest.
func startAlone(t *testing.T) (*Follower, *eraStore) {
	t.Helper()
	store, started := &eraStore{era: 2}, time.Now().Add(-time.Hour)
	store.write(1)
	f := New(store, soloFleet{}, soloFleet{}, store, WithProof(store, modelProofAge, func() time.Duration { return time.Since(started) }))
	time.Sleep(5 * time.Second)
	if err := f.Ready(time.Now()); err != nil || f.Current().Number != 1 {
		t.Fatalf("r%d: %v", f.Current().Number, err)
	}
	return f, store
}

// hear passes a notice of another daemon to the follower.
func hear(t *testing.T, f *Follower, n Notice) {
	t.Helper()
	n.From = "vm-2"
	if err := f.Receiver().Notice(n, &Notice{}); err != nil {
		t.Fatal(err)
	}
}

// TestStartWithAnOlderCopy checks that a daemon which has started with an older copy of the configuration refuses requests with
// keys once it hears of a newer configuration from an earlier era, until the operators have written that again.
func TestStartWithAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, store := startAlone(t)
		defer f.Close()
		hear(t, f, Notice{Revision: object.VersionIn(1, 57), Number: 1, Era: 2})
		if err := f.Ready(time.Now()); err != nil {
			t.Errorf("the same configuration of an earlier era: %v", err)
		}
		hear(t, f, Notice{Revision: object.VersionIn(1, 57), Number: 2, Era: 2})
		time.Sleep(5 * time.Second)
		if err := f.Ready(time.Now()); !errors.Is(err, ErrIsolated) || f.ProvenNewest(time.Now()) || f.ownProof().Known {
			t.Errorf("with an older configuration: %v, want ErrIsolated", err)
		}
		store.write(2)
		time.Sleep(5 * time.Second)
		if err := f.Ready(time.Now()); err != nil || f.Current().Number != 2 {
			t.Errorf("r%d after it was written again: %v", f.Current().Number, err)
		}
	})
}

// TestStartBeforeTheEraHasSettled checks that a daemon which starts right after the store has come back counts its reads as
// proof no sooner than the others, who tell it for how long.
func TestStartBeforeTheEraHasSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := startAlone(t)
		defer f.Close()
		hear(t, f, Notice{Era: 2, Settling: settleTime})
		if age, known := f.ProofAge(); known {
			t.Errorf("a read %s ago counts as proof before the era has settled", age)
		}
		time.Sleep(settleTime + 3*time.Second)
		if err := f.Ready(time.Now()); err != nil {
			t.Errorf("after the era has settled: %v", err)
		}
	})
}

// TestOnlyALaterEraSettles checks that a daemon learns each era once, and that the last proof of the earlier era holds until the
// new one has settled.
func TestOnlyALaterEraSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, store := startAlone(t)
		defer f.Close()
		var learnt []uint64
		f.onEra = func(era uint64) { learnt = append(learnt, era) }
		store.goOnFrom(store.copied())
		hear(t, f, Notice{Era: 3})
		hear(t, f, Notice{Era: 2})
		hear(t, f, Notice{Era: 3, Settling: time.Hour})
		if err := f.Ready(time.Now()); err != nil {
			t.Errorf("with the proof of the earlier era: %v", err)
		}
		time.Sleep(settleTime / 2)
		if age, known := f.ProofAge(); !known || age < settleTime/2 {
			t.Errorf("proof of %s, known %t, before the era has settled", age, known)
		}
		time.Sleep(settleTime + modelProofAge)
		f.mu.Lock()
		o := f.proof.confirmed
		f.mu.Unlock()
		if f.Ready(time.Now()) != nil || o.revision != object.VersionIn(3, 1) || o.at < f.proof.settledAt {
			t.Errorf("the proof is %+v, the era settled at %s", o, f.proof.settledAt)
		}
		if !slices.Equal(learnt, []uint64{3}) {
			t.Errorf("learnt the eras %v", learnt)
		}
	})
}

// countedStore counts the reads of an eraStore.
type countedStore struct {
	*eraStore
	reads *atomic.Int64
}

func (s countedStore) Get(ctx context.Context, key string) (object.Object, error) {
	s.reads.Add(1)
	return s.eraStore.Get(ctx, key)
}

// TestOlderCopyIsReadSeldom checks that a daemon which waits for the operators to write again doesn't read the store more often
// than a reader does at any time.
func TestOlderCopyIsReadSeldom(t *testing.T) {
	const waits, mostReads = 30 * time.Second, 40
	synctest.Test(t, func(t *testing.T) {
		var reads atomic.Int64
		started := time.Now().Add(-time.Hour)
		store := countedStore{eraStore: &eraStore{era: 1}, reads: &reads}
		store.write(1)
		copied := store.copied()
		store.write(2)
		f := New(store, soloFleet{}, soloFleet{}, store, WithProof(store, modelProofAge, func() time.Duration { return time.Since(started) }))
		defer f.Close()
		time.Sleep(5 * time.Second)
		store.goOnFrom(copied)
		reads.Store(0)
		time.Sleep(waits)
		if f.Current().Number != 2 || !errors.Is(f.Ready(time.Now()), ErrIsolated) {
			t.Errorf("r%d: %v", f.Current().Number, f.Ready(time.Now()))
		}
		if reads.Load() > mostReads {
			t.Errorf("%d reads in %s, want at most %d", reads.Load(), waits, mostReads)
		}
	})
}
