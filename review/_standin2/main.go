// Command review-standin-2 plays the scripts of cases 6 to 9: it starts daemons of the system as separate processes
// on loopback addresses, beside stand-ins of the platform's store, workers and clients.
//
//	TROUBLE=1 target/review-standin-2 SCENARIO RECORD
//
// It exits with 1 if the rule of the scenario was broken, with 0 if it held, and with 2 if the scenario couldn't run.
// With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun bounds a scenario.
const maxRun = 110 * time.Second

// play is what a scenario has to work with.
type play struct {
	record  *record
	folder  string
	trouble bool
	runs    *runs
	fleet   *fleet
	workers []*worker
}

// scenarios returns whether the rule was broken, by the name of the scenario.
var scenarios = map[string]func(*play) (bool, error){
	"late-heartbeat":  lateHeartbeat,
	"new-prefix":      newPrefix,
	"lost-departures": lostDepartures,
	"large-uploads":   largeUploads,
}

func main() { os.Exit(playOf(os.Args[1:])) }

// playOf plays the scenario of the arguments and returns the exit status.
func playOf(arguments []string) int {
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 SCENARIO RECORD")
		return 2
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{record: r, folder: folder, trouble: os.Getenv("TROUBLE") != "0", runs: &runs{}}
	r.line("script", "%s, trouble: %t", arguments[0], p.trouble)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := scenarios[arguments[0]](p)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	end := outcome{err: fmt.Errorf("not over after %s", maxRun)}
	select {
	case end = <-done:
	case <-signals:
	case <-time.After(maxRun):
	}
	if p.fleet != nil {
		p.fleet.stop()
	}
	return p.verdict(end.broken, end.err)
}

// verdict writes the outcome to the record and to standard output, and returns the exit status.
func (p *play) verdict(broken bool, err error) int {
	status, text := 0, "the rule held"
	switch {
	case err != nil:
		status, text = 2, "could not run: "+err.Error()
	case broken:
		status, text = 1, "the rule was broken"
	}
	p.record.line("script", "%s", text)
	fmt.Println(text)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" && p.fleet != nil {
		for _, d := range p.fleet.daemons {
			if log, err := os.ReadFile(d.log); err == nil {
				_ = os.WriteFile(keep+"/"+d.name+".log", log, 0o600)
			}
		}
	}
	return status
}

// begin starts a fleet with a configuration, and a worker beside each daemon, and waits until all daemons are ready and
// know the workers.
func (p *play) begin(configuration object, work time.Duration, zones []string, services ...string) error {
	var err error
	if p.fleet, err = newFleet(p.record, p.folder, zones, services...); err != nil {
		return err
	}
	if err := p.fleet.store.configure(configuration); err != nil {
		return err
	}
	for n, d := range p.fleet.daemons {
		w, err := startWorker(p.record, p.runs, d, fmt.Sprintf("i-%08x", 0x7f3a91c2+n), "", work)
		if err != nil {
			return err
		}
		w.beat()
		p.workers = append(p.workers, w)
	}
	if err := p.fleet.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// kretowisko are the zones of the scenarios.
var kretowisko = []string{"poznan-a", "konin"}
