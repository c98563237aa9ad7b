package soak

import (
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"berylpass/platform/standin"
	"berylpass/store/memory"
)

// step is one fault or one action of an operator.
type step struct {
	at, duration time.Duration
	kind         string
	vm           int
	linkFaults   linkFaults
}

const (
	// faultWindow is the time within which all steps of a plan begin.
	faultWindow = 9 * time.Second
	// Each seed that is a multiple of plannedOnlyEvery has planned work only.
	plannedOnlyEvery = 4
	stepCount        = 14
	// From the seed firstLeavingSeed on, leavingSteps backend servers also leave while the store
	// is away, and their daemons are killed.
	firstLeavingSeed = 20000
	leavingSteps     = 3
	// From the seed firstEraSeed on, the store has eras, and goes on from an older copy eraSteps times.
	firstEraSeed = 40000
	eraSteps     = 2
)

var (
	planned   = []string{"terminate", "terminate", "sighup", "rotate-key", "drain"}
	unplanned = []string{
		"kill", "pause", "callers-link", "store-link", "backend-link", "callers-reset", "store-reset", "backend-reset",
		"store-unavailable", "store-slow", "store-loses-answers", "store-rate-limited", "backend-fails", "backend-unresponsive", "backend-crashes",
	}
)

// plan returns the steps of a seed, ordered by time.
func plan(seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed))
	kinds := slices.Concat(planned, unplanned)
	if seed%plannedOnlyEvery == 0 {
		kinds = planned
	}
	var list []step
	for range stepCount {
		s := step{
			at:       time.Duration(random.Int64N(int64(faultWindow))),
			duration: 200*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second))),
			kind:     kinds[random.IntN(len(kinds))],
			vm:       random.IntN(vmCount),
		}
		s.linkFaults = []linkFaults{
			{Delay: 20*time.Millisecond + time.Duration(random.Int64N(int64(200*time.Millisecond)))},
			{HoldUpstream: true}, {HoldDownstream: true}, {HoldUpstream: true, HoldDownstream: true}, {Refuse: true},
		}[random.IntN(5)]
		list = append(list, s)
	}
	if seed >= firstLeavingSeed {
		for range leavingSteps {
			list = append(list, step{
				at: time.Duration(random.Int64N(int64(faultWindow))), duration: time.Duration(random.Int64N(int64(4 * time.Second))),
				kind: []string{"leave-and-kill", "leave-turned-away"}[random.IntN(2)], vm: random.IntN(vmCount),
			})
		}
	}
	if seed >= firstEraSeed {
		for range eraSteps {
			list = append(list, step{
				at: time.Duration(random.Int64N(int64(faultWindow))), duration: time.Duration(random.Int64N(int64(2 * time.Second))),
				kind: "store-older-copy",
			})
		}
	}
	slices.SortStableFunc(list, func(a, b step) int { return int(a.at - b.at) })
	return list
}

// apply carries out a step and reverts it after its duration.
func (f *fleet) apply(s step) {
	v, b := f.vms[s.vm], f.backends[s.vm]
	start := time.Now()
	if !slices.Contains(planned, s.kind) {
		defer func() { f.oracle.recordFault(start, time.Now()) }()
	}
	switch s.kind {
	case "terminate", "kill", "pause", "sighup":
		f.signalDaemon(s)
	case "rotate-key":
		f.rotateKey(s)
	case "callers-link":
		f.applyLinkFaults(v.callers, s)
	case "store-link":
		f.applyLinkFaults(v.store, s)
	case "backend-link":
		f.applyLinkFaults(b.link, s)
	case "callers-reset":
		v.callers.reset()
	case "store-reset":
		v.store.reset()
	case "backend-reset":
		b.link.reset()
	case "store-unavailable":
		f.applyStoreFaults(memory.Faults{Unavailable: true}, s)
	case "store-slow":
		f.applyStoreFaults(memory.Faults{Delay: 300 * time.Millisecond}, s)
	case "store-loses-answers":
		f.applyStoreFaults(memory.Faults{LoseAnswers: 3}, s)
	case "store-rate-limited":
		f.platform.SetFaults(standin.Faults{TooManyRequests: 20})
	case "store-older-copy":
		f.goOnFromOlderCopy(s)
	case "backend-fails":
		b.failing.Store(true)
		time.Sleep(s.duration)
		b.failing.Store(false)
	case "backend-unresponsive":
		b.unresponsive.Store(true)
		time.Sleep(s.duration)
		b.unresponsive.Store(false)
	case "backend-crashes":
		b.crashed.Store(true)
		b.link.setFaults(linkFaults{Refuse: true})
		b.link.reset()
		time.Sleep(s.duration)
		b.replace()
		b.link.setFaults(linkFaults{})
		b.crashed.Store(false)
	case "leave-and-kill", "leave-turned-away":
		f.leaveAndKill(s)
	case "drain":
		b.drain()
		time.Sleep(drainBound + s.duration)
		b.replace()
	}
}

// leaveAndKill lets a backend server leave while the store is away for all, or turns its daemon
// away afterwards. The daemon is killed, and a heartbeat from before then arrives after the
// step's duration.
func (f *fleet) leaveAndKill(s step) {
	v, b := f.vms[s.vm], f.backends[s.vm]
	b.silent.Store(true)
	late := b.nextMessage()
	if s.kind == "leave-and-kill" {
		f.platform.Store().SetFaults(memory.Faults{Unavailable: true})
	}
	b.drain()
	v.store.setFaults(linkFaults{Refuse: true})
	f.signalDaemon(step{kind: "kill", vm: s.vm})
	time.Sleep(s.duration)
	b.send(late)
	f.platform.Store().SetFaults(memory.Faults{})
	v.store.setFaults(linkFaults{})
	time.Sleep(drainBound + 2*time.Second)
	b.replace()
	b.silent.Store(false)
}

// signalDaemon carries out a step that signals the daemon of a VM, and restarts the daemon
// if it has ended. The steps of one VM run one after another.
func (f *fleet) signalDaemon(s step) {
	f.processMu[s.vm].Lock()
	defer f.processMu[s.vm].Unlock()
	v := f.vms[s.vm]
	switch s.kind {
	case "terminate":
		v.signal(syscall.SIGTERM)
		if !v.awaitExit(shutdownLimit) {
			f.t.Errorf("%s still runs %v after SIGTERM", v.id, shutdownLimit)
			v.kill()
		}
		f.restart(v)
	case "kill":
		v.kill()
		time.Sleep(s.duration / 3)
		f.restart(v)
	case "pause":
		v.signal(syscall.SIGSTOP)
		time.Sleep(s.duration)
		v.signal(syscall.SIGCONT)
	case "sighup":
		v.signal(syscall.SIGHUP)
	}
}

// shutdownLimit is the time after SIGTERM within which a daemon must have ended: the
// grace of 6 s on the users' platform, and 1 s for delays of a busy machine.
const shutdownLimit = 7 * time.Second

func (f *fleet) restart(v *vm) {
	if err := v.start(); err != nil {
		f.t.Errorf("start %s: %v", v.id, err)
	}
}

// rotateKey gives an organisation a new key and, after the step's duration, withdraws its
// oldest key.
func (f *fleet) rotateKey(s step) {
	organisation := []string{"t-1", "t-2", "t-3"}[s.vm%3]
	f.keys.add(organisation)
	f.publishConfiguration()
	time.Sleep(s.duration)
	withdrawn := f.keys.withdraw(organisation)
	f.oracle.recordWithdrawal(withdrawn, f.publishConfiguration())
}

// goOnFromOlderCopy lets the store be away for a moment and go on from a copy that is some seconds old. The operators write again
// what it has lost.
func (f *fleet) goOnFromOlderCopy(s step) {
	const copyAge, rewriteDelay = 3 * time.Second, 200 * time.Millisecond
	copied := f.platform.Store().Backup()
	time.Sleep(copyAge)
	f.applyStoreFaults(memory.Faults{Unavailable: true}, s)
	f.platform.RestartFrom(copied)
	time.Sleep(rewriteDelay)
	f.publishConfiguration()
}

func (f *fleet) applyLinkFaults(p *proxy, s step) {
	p.setFaults(s.linkFaults)
	time.Sleep(s.duration)
	p.setFaults(linkFaults{})
}

func (f *fleet) applyStoreFaults(faults memory.Faults, s step) {
	f.platform.Store().SetFaults(faults)
	time.Sleep(s.duration)
	f.platform.Store().SetFaults(memory.Faults{})
}
