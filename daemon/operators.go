package daemon

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"berylpass/monitor/burn"
	"berylpass/monitor/event"
	"berylpass/monitor/exposition"
	"berylpass/monitor/status"
	"berylpass/monitor/version"
)

// operatorHandler returns the handler of the operators' port.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposition.New(d.metrics))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) })
	mux.Handle("GET "+burn.Path, burn.Handler(func() burn.Snapshot {
		return d.observer.burn.Snapshot(d.clock()).WithDaemon(string(d.self.ID))
	}))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		event.OperatorRequestRefused.Log(&d.logger).Str("method", r.Method).Str("path", r.URL.Path).Send()
		http.Error(w, "allowed are GET /metrics, /status and "+burn.Path, http.StatusNotFound)
	})
	return mux
}

// writeJSON answers with v as JSON, or with status 500 if it can't be encoded.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// Status returns the state of the daemon and its view of the fleet.
func (d *Daemon) Status() status.Status {
	// Readiness is read first, so that the revision shown for a ready daemon is the one
	// with which it was ready or a later one.
	ready := d.Ready(d.clock())
	s := d.configuration.Current()
	out := status.Status{
		Daemon:      string(d.self.ID),
		Datacentre:  d.self.Datacentre,
		Version:     version.Current().Version,
		Incarnation: d.guard.Incarnation(),
		Revision:    s.Revision,
		Ready:       "ready",
		InFlight:    d.ingress.InFlight() + d.guard.InFlight(),
		Shares:      d.limits.SharesHeld(),
		Backends:    d.chooser.Status(),
		Rollouts:    d.rolloutStatus(),
		Admission:   d.ingress.Admission(),
	}
	if ready != nil {
		out.Ready = ready.Error()
	}
	members := map[string]int{}
	for _, m := range d.members.Members() {
		members[m.Datacentre]++
		out.Members = append(out.Members, status.Member{
			ID: string(m.ID), Datacentre: m.Datacentre, State: m.State.String(), Revision: m.Revision, Control: m.Control,
		})
	}
	backends := map[string]int{}
	for _, line := range out.Backends {
		backends[line.Datacentre]++
	}
	for _, name := range slices.Sorted(maps.Keys(s.Datacentres)) {
		c := s.Datacentres[name]
		out.Datacentres = append(out.Datacentres, status.Datacentre{
			Name: name, Region: c.Region, InService: c.InService, Members: members[name], Backends: backends[name],
		})
	}
	if regions := d.regions(); regions != nil {
		counts, services := d.chooser.Spilled()
		out.Spill = &status.Spill{
			Region: regions[d.self.Datacentre], Requests: counts.Requests, Bytes: counts.Bytes, Kept: counts.Kept, Services: services,
		}
	}
	return out
}
