package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"berylpass/monitor/event"
)

const (
	// rewriteSpacing is the mean time between two daemons of the fleet that write again what the
	// store has lost. Each takes up to four calls, and the smallest fleets may make some hundred
	// calls a second.
	rewriteSpacing = 20 * time.Millisecond
	// maxRewriteDelay bounds the delay of one daemon.
	maxRewriteDelay = 10 * time.Second
)

// storeEraRaised is called when the store, which has answered this daemon before, is found to have
// gone on from an older copy.
func (d *Daemon) storeEraRaised(previous, era uint64) {
	event.StoreEraRaised.Log(&d.logger).Uint64("previous", previous).Uint64("era", era).Send()
	d.observer.count("store-era-raised")
	if f := d.configuration.follower.Load(); f != nil {
		f.LearnEra(era)
	}
	select {
	case d.eraRaised <- struct{}{}:
	default:
	}
}

// recordStoreEra exposes the latest era of the store that is known.
func (d *Daemon) recordStoreEra(era uint64) {
	metrics.GetOrRegisterGauge("store-era", d.metrics).Update(int64(era))
}

// startRewrites starts to write again, each time the store has gone on from an older copy, what it
// had acknowledged to this daemon. The delay is random, so that the daemons of a fleet don't write
// at once.
func (d *Daemon) startRewrites() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-d.eraRaised:
			}
			select {
			case <-done:
				return
			case <-time.After(d.rewriteDelay()):
			}
			event.StoreRewritten.Log(&d.logger).Send()
			d.members.RewriteRecord()
			if d.departures != nil {
				d.departures.Rewrite()
			}
		}
	})
	d.onClose(func() {
		close(done)
		wait.Wait()
	})
}

func (d *Daemon) rewriteDelay() time.Duration {
	longest := min(time.Duration(max(d.liveDaemons.Load(), 1))*rewriteSpacing, maxRewriteDelay)
	return rand.N(longest)
}
