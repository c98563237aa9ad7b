package soak

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"berylpass/platform/document"
	"berylpass/platform/standin"
)

var (
	seedCount      = flag.Uint64("soak.seeds", 0, "number of seeds to run in place of the regression seeds")
	firstSeed      = flag.Uint64("soak.from", 1, "first of these seeds")
	logDir         = flag.String("soak.keep", "", "directory in which the logs of the daemons are kept; if empty they are removed after the test")
	parallelFleets = flag.Int("soak.jobs", 2, "number of fleets that run at once")
)

// binary is the path of the program, which TestMain builds.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "soak")
	if err == nil {
		binary = filepath.Join(dir, "berylpass")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", binary, "berylpass/cmd/berylpass").CombinedOutput(); err != nil {
			err = fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestSoak runs the regression seeds of testdata/seeds.txt, or the seeds that the flags
// select.
func TestSoak(t *testing.T) {
	list := regressionSeeds(t)
	if *seedCount > 0 {
		list = nil
		for n := range *seedCount {
			list = append(list, *firstSeed+n)
		}
	}
	fleetNumbers := make(chan int, *parallelFleets)
	for n := range *parallelFleets {
		fleetNumbers <- n
	}
	var wait sync.WaitGroup
	for _, seed := range list {
		fleetNumber := <-fleetNumbers
		wait.Go(func() {
			defer func() { fleetNumbers <- fleetNumber }()
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed, fleetNumber) })
		})
	}
	wait.Wait()
}

func regressionSeeds(t *testing.T) []uint64 {
	text, err := os.ReadFile("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	var list []uint64
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		first, _, _ := strings.Cut(lines.Text(), " ")
		if seed, err := strconv.ParseUint(first, 10, 64); err == nil {
			list = append(list, seed)
		}
	}
	return list
}

const (
	vmCount = 4
	// callersPerVM is the number of callers per daemon.
	callersPerVM = 4
	// The fleet has recovered once the share recoveredShare of the last recentRequests
	// requests was served.
	recentRequests = 200
	recoveredShare = 0.95
)

// fleet is a running fleet: its daemons, backend servers, store and configuration.
type fleet struct {
	t        *testing.T
	oracle   *oracle
	platform *standin.Server
	keys     *keyring
	vms      []*vm
	backends []*backend
	// processMu serialises the steps that signal or start the daemon of each VM.
	processMu [vmCount]sync.Mutex
	publishMu sync.Mutex
	revision  uint64
}

// runSeed runs the plan of one seed and reports violations. Fleets that run at once have
// different numbers, which select their loopback addresses.
func runSeed(t *testing.T, seed uint64, fleetNumber int) {
	f := newFleet(t, seed, fleetNumber)
	stop := f.startCallers(seed)
	var wait sync.WaitGroup
	start := time.Now()
	for _, step := range plan(seed) {
		time.Sleep(time.Until(start.Add(step.at)))
		wait.Go(func() { f.apply(step) })
	}
	wait.Wait()
	f.awaitReady(startLimit)
	f.awaitRecovery()
	stop()
	for _, violation := range f.oracle.violations() {
		t.Errorf("seed %d: %s", seed, violation)
	}
	for _, v := range f.vms {
		for _, status := range v.exitStatuses() {
			if status != "<nil>" && status != "signal: killed" {
				t.Errorf("seed %d: %s ended unexpectedly: %s", seed, v.id, status)
			}
		}
	}
	if t.Failed() {
		for _, step := range plan(seed) {
			t.Logf("plan: %+v", step)
		}
	}
}

// newFleet starts the daemons and the backend servers, and waits until the daemons are
// ready.
func newFleet(t *testing.T, seed uint64, fleetNumber int) *fleet {
	dir := t.TempDir()
	if *logDir != "" {
		dir = filepath.Join(*logDir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			t.Fatal(err)
		}
	}
	f := &fleet{t: t, oracle: newOracle(), keys: newKeyring()}
	var err error
	if f.platform, err = standin.New("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.platform.Close)
	if seed >= firstEraSeed {
		f.platform.Store().SetEra(1)
	}
	f.publishConfiguration()
	for n := range vmCount {
		ip := fmt.Sprintf("127.%d.%d.%d", 100+fleetNumber, os.Getpid()%250+1, n+1)
		v := newVM(t, dir, fmt.Sprint("vm-", n+1), ip, []string{"srem", "gniezno"}[n%2], f.platform.Address())
		if err := v.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { v.kill() })
		f.vms = append(f.vms, v)
		f.backends = append(f.backends, newBackend(t, v, f.oracle))
	}
	f.awaitReady(startLimit)
	return f
}

// startCallers starts the callers. The returned function stops them and waits for them.
func (f *fleet) startCallers(seed uint64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range vmCount * callersPerVM {
		c := newCaller(n, f.vms[n%vmCount], f.oracle, f.keys, seed)
		callers.Go(func() { c.run(ctx) })
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// publishConfiguration writes the current configuration to the store, retrying until it
// succeeds, and returns the time of the acknowledgement.
func (f *fleet) publishConfiguration() time.Time {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	text := f.keys.configuration()
	for {
		written, err := f.platform.Store().Put(context.Background(), document.Key, text, f.revision)
		if err == nil {
			f.revision = written.Version
			return time.Now()
		}
		time.Sleep(50 * time.Millisecond)
		if found, err := f.platform.Store().Get(context.Background(), document.Key); err == nil {
			f.revision = found.Version
		}
	}
}

func (f *fleet) awaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				f.t.Errorf("%s is not ready after %v", v.id, limit)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// awaitRecovery waits until the fleet has recovered, for recoveryBound at most.
func (f *fleet) awaitRecovery() {
	deadline := time.Now().Add(recoveryBound)
	for f.oracle.servedShare(recentRequests) < recoveredShare {
		if time.Now().After(deadline) {
			f.t.Errorf("share %.2f of the last %d requests was served %v after the last fault", f.oracle.servedShare(recentRequests), recentRequests, recoveryBound)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
