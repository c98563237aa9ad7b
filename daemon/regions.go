package daemon

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"berylpass/choice/picker"
	"berylpass/choice/spill"
	"berylpass/fleet/member"
	"berylpass/mesh/crossing"
	"berylpass/monitor/event"
)

const (
	// regionMetricsInterval is the time between two updates of the metrics of traffic between regions.
	regionMetricsInterval = 5 * time.Second
	// regionLogInterval is the time between two log lines about it.
	regionLogInterval = 30 * time.Second
)

// regions returns the region of each data centre by name, nil if the fleet has fewer than two regions: what
// concerns regions is off then.
func (d *Daemon) regions() map[string]string {
	for _, region := range d.settings.Datacentres {
		if region != d.settings.Datacentres[d.settings.Daemon.Datacentre] {
			return d.settings.Datacentres
		}
	}
	return nil
}

// inSameRegion reports whether another daemon is in the region of this one. An unknown one counts as being there.
func (d *Daemon) inSameRegion(id member.ID) bool {
	m, ok := d.members.Member(id)
	return !ok || d.regions()[m.Datacentre] == d.regions()[d.self.Datacentre]
}

// regionOptions returns the options of the picker that keep requests in their region.
func (d *Daemon) regionOptions() []picker.Option {
	if d.regions() == nil {
		return nil
	}
	return []picker.Option{
		picker.WithRegions(spill.New(d.self.Incarnation)), picker.WithOwnRegion(d.regions()[d.settings.Daemon.Datacentre]),
		picker.WithExpectedCompletion(),
	}
}

// regionalPromptAttempts is the number of first attempts of a request that a busy guard refuses, in a fleet of several
// regions: the own region is searched for a free slot before the request waits or leaves it.
const regionalPromptAttempts = 4

// promptAttempts returns the number of first attempts that a busy guard refuses, 0 for the default.
func (d *Daemon) promptAttempts() int {
	if d.regions() == nil {
		return 0
	}
	return regionalPromptAttempts
}

// updateSpillRate gives the chooser this daemon's part of the bytes that may leave the region: an equal part for each
// live daemon there. It is called when a daemon has joined, left or died.
func (d *Daemon) updateSpillRate() {
	regions := d.regions()
	if regions == nil {
		return
	}
	daemons := 0
	for _, datacentre := range d.live {
		if regions[datacentre] == regions[d.self.Datacentre] {
			daemons++
		}
	}
	d.regionDaemons.Store(int64(daemons))
	d.applySpillRate()
}

// applySpillRate divides the share of the link between the live daemons of the region, as last counted.
func (d *Daemon) applySpillRate() {
	if d.chooser == nil {
		return
	}
	d.spillMu.Lock()
	defer d.spillMu.Unlock()
	daemons := d.spillPeers.Update(d.clock(), int(d.regionDaemons.Load()))
	d.chooser.SetSpillRate(d.settings.Regions.SpillRate() / float64(daemons))
}

// startRegions starts to report the traffic with other regions.
func (d *Daemon) startRegions() {
	if d.regions() == nil {
		return
	}
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		ticker := time.NewTicker(regionMetricsInterval)
		defer ticker.Stop()
		var last spilled
		for n := 1; ; n++ {
			select {
			case <-ticker.C:
				d.applySpillRate()
				last = d.reportSpill(last)
				d.reportRegions(n%int(regionLogInterval/regionMetricsInterval) == 0)
			case <-done:
				return
			}
		}
	})
	d.onClose(func() {
		close(done)
		wait.Wait()
	})
}

// reportRegions updates the metrics of the traffic with other regions, and logs it if log is set.
func (d *Daemon) reportRegions(log bool) {
	totals := d.traffic.Totals(d.otherRegion())
	line := event.RegionTraffic.Log(&d.logger)
	for _, kind := range []crossing.Kind{crossing.Control, crossing.Requests} {
		t := totals[kind]
		name := `{kind="` + kind.String() + `"`
		metrics.GetOrRegisterGauge("region-connections"+name+"}", d.metrics).Update(t.Connections)
		metrics.GetOrRegisterGauge("region-bytes"+name+`,direction="sent"}`, d.metrics).Update(t.Sent)
		metrics.GetOrRegisterGauge("region-bytes"+name+`,direction="received"}`, d.metrics).Update(t.Received)
		line = line.Int64(kind.String()+"-connections", t.Connections).
			Int64(kind.String()+"-sent", t.Sent).Int64(kind.String()+"-received", t.Received)
	}
	// Where the store stands isn't known; all traffic with it is reported.
	store := d.traffic.Totals(func(string) bool { return true })[crossing.Store]
	metrics.GetOrRegisterGauge(`store-bytes{direction="sent"}`, d.metrics).Update(store.Sent)
	metrics.GetOrRegisterGauge(`store-bytes{direction="received"}`, d.metrics).Update(store.Received)
	line = line.Int64("store-sent", store.Sent).Int64("store-received", store.Received)
	if log {
		line.Send()
	}
}

// spilled is what was last reported of requests that leave the region.
type spilled struct {
	counts   spill.Counts
	services map[string]bool
}

// reportSpill updates the metrics of the requests that leave the region, and logs for which services that has begun or
// ended since the last report.
func (d *Daemon) reportSpill(last spilled) spilled {
	counts, lines := d.chooser.Spilled()
	next := spilled{counts: counts, services: map[string]bool{}}
	metrics.GetOrRegisterGauge("spilled-requests", d.metrics).Update(counts.Requests)
	metrics.GetOrRegisterGauge("spilled-bytes", d.metrics).Update(counts.Bytes)
	metrics.GetOrRegisterGauge("spills-kept", d.metrics).Update(counts.Kept)
	for _, line := range lines {
		metrics.GetOrRegisterGaugeFloat64(`region-load{service="`+line.Service+`"}`, d.metrics).Update(line.Load)
		next.services[line.Service] = line.Fraction > 0
		switch {
		case line.Fraction > 0 && !last.services[line.Service]:
			event.SpillBegan.Log(&d.logger).Str("service", line.Service).Float64("load", line.Load).Send()
		case line.Fraction == 0 && last.services[line.Service]:
			event.SpillEnded.Log(&d.logger).Str("service", line.Service).Float64("load", line.Load).Send()
		}
	}
	if kept := counts.Kept - last.counts.Kept; kept > 0 {
		event.SpillKept.Log(&d.logger).Int64("requests", kept).Send()
	}
	return next
}

// otherRegion returns a function that reports whether a host is the VM of a daemon in another region.
func (d *Daemon) otherRegion() func(host string) bool {
	regions := d.regions()
	own := regions[d.self.Datacentre]
	elsewhere := map[string]bool{}
	for _, m := range d.members.Members() {
		if host, _, err := net.SplitHostPort(m.Control); err == nil {
			elsewhere[host] = regions[m.Datacentre] != own
		}
	}
	return func(host string) bool { return elsewhere[host] }
}
