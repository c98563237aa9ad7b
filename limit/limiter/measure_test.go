package limiter_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/limit/limiter"
)

// measured limits: many small organisations and a few large ones.
func measuredLimits() map[string]limit {
	kinds := []limit{{0.5, 1}, {1, 2}, {3.6, 1}, {3.6, 2}, {3.6, 3}, {3.6, 8}, {10, 10}, {40, 40}}
	limits := map[string]limit{}
	for i := range 64 {
		limits[fmt.Sprintf("organisation-%02d", i)] = kinds[i%len(kinds)]
	}
	return limits
}

const (
	// utilisation is the offered part of each organisation's rate.
	utilisation = 0.7
	warmUp      = 40 * time.Second
	span        = 300 * time.Second
	// detection is the time after which the members know that a daemon is dead.
	detection = 5 * time.Second
	// drain is the time that a leaving daemon has.
	drain = 25 * time.Second
	// envelope is the size of a TLS record's header and tag, in bytes.
	envelope = 22
)

// messageSize returns a function that gives the bytes of a net/rpc message in gob, without the
// type descriptions that are sent once per connection.
func messageSize() func(any) int {
	encoders := map[string]*gob.Encoder{}
	buffers := map[string]*bytes.Buffer{}
	return func(body any) int {
		kind := fmt.Sprintf("%T", body)
		if encoders[kind] == nil {
			buffers[kind] = &bytes.Buffer{}
			encoders[kind] = gob.NewEncoder(buffers[kind])
			_ = encoders[kind].Encode(rpc.Request{ServiceMethod: "Limit.Borrow", Seq: 1 << 20})
			_ = encoders[kind].Encode(body)
		}
		buffers[kind].Reset()
		_ = encoders[kind].Encode(rpc.Request{ServiceMethod: "Limit.Borrow", Seq: 1 << 20})
		_ = encoders[kind].Encode(body)
		return buffers[kind].Len() + envelope
	}
}

// offerConforming offers requests of one organisation that a single token bucket of its
// rate and burst would admit without exception, at the nodes that where names.
func (f *fleet) offerConforming(name string, factor float64, where func() *node, also func(*node)) {
	l := f.limits[name]
	level, last := float64(l.burst), f.now
	var next func()
	next = func() {
		level = min(float64(l.burst), level+l.rate*(f.now-last).Seconds())
		last = f.now
		if level >= 1 || factor > 1 {
			level--
			n := where()
			also(n)
			f.offer(n, name)
		}
		f.at(time.Duration(f.rand.ExpFloat64()/(l.rate*factor)*float64(time.Second)), next)
	}
	f.at(time.Duration(f.rand.Float64()*float64(time.Second)), next)
}

// split is the baseline: each node enforces 1/N of the limit on its own.
type split struct {
	f       *fleet
	levels  map[string][]float64
	at      map[string][]time.Duration
	refused map[string]int
}

func (s *split) offer(n *node, name string) {
	l, count := s.f.limits[name], len(s.f.nodes)
	if s.levels[name] == nil {
		s.levels[name], s.at[name] = make([]float64, count), make([]time.Duration, count)
		for i := range count {
			s.levels[name][i] = float64(l.burst) / float64(count)
		}
	}
	level := &s.levels[name][n.index]
	elapsed := (s.f.now - s.at[name][n.index]).Seconds()
	s.at[name][n.index] = s.f.now
	*level = min(float64(l.burst)/float64(count), *level+l.rate*elapsed/float64(count))
	if *level < 1 {
		s.refused[name]++
		return
	}
	*level--
}

// BenchmarkRefusals measures wrongful refusals, excess and messages over 300 s of virtual time.
// Run: go test ./limit/limiter -run '^$' -bench Refusals -benchtime 1x
func BenchmarkRefusals(b *testing.B) {
	for _, nodes := range []int{9, 30} {
		for _, scenario := range []string{"even", "one", "moving", "five-times", "left", "killed", "killed-store-away"} {
			b.Run(fmt.Sprintf("%s/nodes=%d", scenario, nodes), func(b *testing.B) {
				for range b.N {
					measure(b, scenario, nodes)
				}
			})
		}
	}
}

// declare lets all nodes know the state of one.
func (f *fleet) declare(index int, state member.State) {
	f.states = map[int]member.State{index: state}
	for _, n := range f.nodes {
		if !n.down {
			f.feed(n, limiter.Members{List: f.members()})
		}
	}
}

func measure(b *testing.B, scenario string, nodes int) {
	const abusive = "organisation-07"
	f := newFleet(11, nodes, measuredLimits())
	f.sizeOf = messageSize()
	base := &split{f: f, levels: map[string][]float64{}, at: map[string][]time.Duration{}, refused: map[string]int{}}
	where := func() *node {
		for {
			if n := f.nodes[f.rand.IntN(nodes)]; !n.down && f.states[n.index] == member.Serving {
				return n
			}
		}
	}
	for i := range len(f.limits) {
		name, at, factor := fmt.Sprintf("organisation-%02d", i), where, utilisation
		switch scenario {
		case "one":
			at = func() *node { return f.nodes[i%nodes] }
		case "moving":
			at = func() *node { return f.nodes[(i+int(f.now/(20*time.Second)))%nodes] }
		case "five-times":
			if name == abusive {
				factor = 5
			}
		}
		f.offerConforming(name, factor, at, func(n *node) { base.offer(n, name) })
	}
	f.runFor(warmUp)
	clear(f.refused)
	clear(f.offered)
	clear(base.refused)
	f.messages, f.bytes, f.writes, f.noLease = 0, 0, 0, 0
	f.runFor(span / 3)
	if scenario == "killed" || scenario == "killed-store-away" {
		f.stop(f.nodes[0])
		f.at(detection, func() { f.declare(0, member.Dead) })
	}
	if scenario == "left" {
		f.declare(0, member.Leaving)
		f.feed(f.nodes[0], limiter.Leave{})
		f.at(drain, func() { f.stop(f.nodes[0]) })
	}
	if scenario == "killed-store-away" {
		for i := range nodes {
			f.storeCut[i] = true
		}
	}
	f.runFor(span - span/3)
	report(b, f, base, abusive, scenario)
}

func report(b *testing.B, f *fleet, base *split, abusive, scenario string) {
	var offered, refused, split int
	var excess, worst float64
	for name := range f.limits {
		excess = max(excess, f.excess(name))
		if scenario == "five-times" && name == abusive {
			continue
		}
		offered += f.offered[name]
		refused += f.refused[name]
		split += base.refused[name]
		worst = max(worst, 100*float64(f.refused[name])/float64(max(1, f.offered[name])))
	}
	kinds := map[limit][2]int{}
	for name, l := range f.limits {
		k := kinds[l]
		kinds[l] = [2]int{k[0] + f.refused[name], k[1] + f.offered[name]}
	}
	b.Log(scenario, kinds)
	all := 0
	for _, n := range f.offered {
		all += n
	}
	seconds := span.Seconds() * float64(len(f.nodes))
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*float64(refused)/float64(offered), "%refused")
	b.ReportMetric(worst, "%worst")
	b.ReportMetric(100*float64(split)/float64(offered), "%split")
	b.ReportMetric(excess, "excess")
	b.ReportMetric(float64(f.messages)/float64(all), "msgs/req")
	b.ReportMetric(float64(f.bytes)/seconds, "B/s/daemon")
	b.ReportMetric(float64(f.writes), "writes")
}
