// Package admission decides at an ingress which requests a service can't answer in time, so that they are refused at
// once, the least urgent first.
//
// The load that it answers: for some seconds the requests of a service need more slots than its backend servers have.
// A queue at each backend server orders what arrives there, but a request that has no chance is carried to several of
// them before it is refused, and one that is queued may be refused after its caller has waited for long.
//
// Each ingress decides by itself, by the same rule and from samples of the same measurements: the rooms that guards
// send with their answers. So all ingresses come to nearly the same decision without messages of their own and without
// a coordinator. The more of a level's newcomers the guards heard from lately refuse beyond aim, the faster
// the share of the level that is admitted falls; the fewer, the faster it rises. Within a band around aim it stays as it
// is: then the queues are full, so that no slot is idle, and not much is carried there in vain. A level is never admitted in a greater share than a more urgent one, and
// never in less than leastShare, so that news keeps coming and none is shut out. Where fewer than minGuards have been
// heard from lately, every request is admitted, the share rises, and the guards' queues decide. Calls of running requests are always
// admitted: refusing them would waste the slots of the runs that wait for them.
//
// Inside a level the share is cut from the organisations that ask for most, as far as this ingress sees: none of them
// is admitted at a greater rate than any whose requests are refused.
//
// The advice when to come back is spread over the time that the backlog needs, so that those who were refused together
// don't return together.
//
// # Usage
//
//	a := admission.New()
//	a.Update(now, admission.RoomHeard{Service: "rounds", Backend: b, Room: r})
//	for _, action := range a.Update(now, admission.Arrived{Service: "rounds", Level: urgency.Second, Left: left, Random: rand.Float64(), Spread: rand.Float64()}) {
//		// Refused, Closed, Opened
//	}
package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"berylpass/choice/room"
	"berylpass/choice/urgency"
	"berylpass/decision"
	"berylpass/fleet/backend"
)

const (
	// maxAge is the age up to which a room counts. Loads change within about the time that requests wait.
	maxAge = 2 * time.Second
	// minGuards is the number of guards that must have been heard from lately for requests to be refused.
	minGuards = 5
	// stepInterval is the least time between two changes of the share of a level. What guards say is up to maxAge old,
	// so that several steps pass before the first shows; each is small for that reason.
	stepInterval = 250 * time.Millisecond
	// gain is the change of the share in a step, relative to the share and to how far the guards' refusals are from aim.
	// Between none and all admitted there are some five seconds.
	gain = 0.25
	// freeRise is the change of the share in a step while guards refuse nothing at all: the overload is over.
	freeRise = 0.2
	// leastShare is the least share of a level that is admitted: about what the guards' queues leave the second level
	// beside the first.
	leastShare = 1.0 / 16
	// aim is the share of newcomers that guards should refuse while there is too little room, band how far from it they
	// may be. A request may be sent to five queues, so that at aim one in six of those admitted is refused by all:
	// enough for the guards, which know best what each organisation has got, to share out the room.
	aim, band = 0.7, 0.1
	// closedBelow and openedAbove are the shares at which a level counts as closed and as open again.
	closedBelow, openedAbove = 0.5, 0.9
	// maxRetryShare is the share of its time left that a caller is willing to wait before it comes back.
	maxRetryShare = 1.0 / 3
	// minBacklog is the least time that a backlog is taken to need.
	minBacklog = 200 * time.Millisecond
)

// Admission decides which requests are refused. It does no I/O and is not safe for concurrent use.
type Admission struct {
	services map[string]*service
}

var _ decision.System = (*Admission)(nil)

// service is what is known of one service.
type service struct {
	rooms  map[backend.ID]heard
	levels [urgency.Count]level
}

// level is the state of admission of one level.
type level struct {
	// cut is the share that is not admitted, before that of more urgent levels is considered.
	cut       float64
	steppedAt time.Time
	// closed reports whether operators were told that the level is closed.
	closed bool
	asked  demand
	// askedAt is when a request of the level last arrived.
	askedAt time.Time
}

// heard is the last room of a backend server.
type heard struct {
	room room.Room
	at   time.Time
}

// New returns an Admission that admits everything until it hears of a lack of room.
func New() *Admission { return &Admission{services: map[string]*service{}} }

// RoomHeard passes on what a guard said of its backend server.
type RoomHeard struct {
	Service string
	Backend backend.ID
	Room    room.Room
}

// Arrived asks whether a request is admitted.
type Arrived struct {
	Service string
	Level   urgency.Level
	// Organisation is whose share the request counts to.
	Organisation string
	// Left is the time until the request's deadline.
	Left time.Duration
	// Random and Spread are random numbers in [0, 1): which requests of a share are admitted, and when the others are
	// advised to come back.
	Random, Spread float64
}

// Refused tells that a request is not admitted.
type Refused struct {
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// Closed tells that most requests of a level, and of all less urgent ones, are refused.
type Closed struct {
	Service string
	Level   urgency.Level
}

// Opened tells that nearly all requests of a level are admitted again.
type Opened struct {
	Service string
	Level   urgency.Level
}

// Update applies one event of this package and returns the resulting actions: for an Arrived a Closed or
// Opened for each level that has changed, and then at most one Refused.
func (a *Admission) Update(now time.Time, event decision.Event) []decision.Action {
	switch e := event.(type) {
	case RoomHeard:
		a.service(e.Service).hear(now, e)
	case Arrived:
		return a.service(e.Service).arrived(now, e)
	}
	return nil
}

// Level returns the least urgent level that a service admits, urgency.Fourth if it admits all.
func (a *Admission) Level(of string) urgency.Level {
	s, ok := a.services[of]
	if !ok {
		return urgency.Fourth
	}
	return s.admitted()
}

// CallWait returns the wait of a call that the median of the guards of a service expects; zero if too little is known.
func (a *Admission) CallWait(now time.Time, of string) time.Duration {
	if s, ok := a.services[of]; ok {
		return s.wait(now, urgency.Call)
	}
	return 0
}

func (a *Admission) service(name string) *service {
	s, ok := a.services[name]
	if !ok {
		s = &service{rooms: map[backend.ID]heard{}}
		a.services[name] = s
	}
	return s
}

// hear keeps a room and drops those that are too old.
func (s *service) hear(now time.Time, e RoomHeard) {
	s.rooms[e.Backend] = heard{room: e.Room, at: now}
	maps.DeleteFunc(s.rooms, func(_ backend.ID, h heard) bool { return now.Sub(h.at) > maxAge })
}

// arrived decides on a request.
func (s *service) arrived(now time.Time, e Arrived) []decision.Action {
	if e.Level <= urgency.Call || e.Level >= urgency.Count {
		return nil
	}
	l := &s.levels[e.Level]
	l.asked.add(now, e.Organisation)
	l.askedAt = now
	actions := s.stepDue(now, e)
	if _, known := s.refused(now, e.Level); !known {
		return actions
	}
	if e.Random < l.asked.part(e.Organisation, s.share(e.Level)) {
		return actions
	}
	return append(actions, Refused{RetryAfter: RetryAfter(s.wait(now, e.Level), e.Left, e.Spread)})
}

// stepDue steps the level of a request, and opens those of which nothing has arrived for maxAge: they would hold back the
// less urgent ones for good.
func (s *service) stepDue(now time.Time, e Arrived) []decision.Action {
	var actions []decision.Action
	for n := urgency.First; n < urgency.Count; n++ {
		l := &s.levels[n]
		silent := now.Sub(l.askedAt) > maxAge
		if n != e.Level && !silent || now.Sub(l.steppedAt) < stepInterval {
			continue
		}
		l.steppedAt = now
		refused := 0.0
		if !silent {
			refused, _ = s.refused(now, n)
		}
		l.step(refused)
		actions = append(actions, l.changes(e.Service, n)...)
	}
	return actions
}

// step changes the share that is admitted by the share that the guards refuse.
func (l *level) step(refused float64) {
	share := 1 - l.cut
	switch {
	case refused == 0:
		share *= 1 + freeRise
	case math.Abs(refused-aim) > band:
		share *= 1 - gain*(refused-aim)
	}
	l.cut = 1 - min(max(share, leastShare), 1)
}

// changes returns the action that tells that the level has closed or opened.
func (l *level) changes(name string, n urgency.Level) []decision.Action {
	switch {
	case !l.closed && 1-l.cut < closedBelow:
		l.closed = true
		return []decision.Action{Closed{Service: name, Level: n}}
	case l.closed && 1-l.cut > openedAbove:
		l.closed = false
		return []decision.Action{Opened{Service: name, Level: n}}
	}
	return nil
}

// share returns the share of a level that is admitted: the least of its own and those of more urgent levels.
func (s *service) share(l urgency.Level) float64 {
	least := 1.0
	for k := urgency.First; k <= l; k++ {
		least = min(least, 1-s.levels[k].cut)
	}
	return least
}

// admitted returns the least urgent level before the first that is closed.
func (s *service) admitted() urgency.Level {
	for l := urgency.First; l < urgency.Count; l++ {
		if s.levels[l].closed {
			return l - 1
		}
	}
	return urgency.Fourth
}

// refused returns the mean share of a level's newcomers that the guards heard from lately refuse. It returns zero and
// false if these are too few.
func (s *service) refused(now time.Time, l urgency.Level) (share float64, known bool) {
	shares := make([]float64, 0, len(s.rooms))
	for _, h := range s.rooms {
		if now.Sub(h.at) <= maxAge {
			shares = append(shares, h.room.Refused[l])
		}
	}
	if len(shares) < minGuards {
		return 0, false
	}
	// Sorted, so that the sum doesn't depend on the order of the map.
	slices.Sort(shares)
	for _, one := range shares {
		share += one / float64(len(shares))
	}
	return share, true
}

// wait returns the median of the waits of a level that the guards heard from lately expect, zero if these are too few.
func (s *service) wait(now time.Time, l urgency.Level) time.Duration {
	waits := make([]time.Duration, 0, len(s.rooms))
	for _, h := range s.rooms {
		if now.Sub(h.at) <= maxAge {
			waits = append(waits, h.room.Waits[l])
		}
	}
	if len(waits) < minGuards {
		return 0
	}
	slices.Sort(waits)
	return waits[len(waits)/2]
}

// RetryAfter returns when the caller of a refused request should come back: spread over the time that the backlog
// needs, within the share of the time left that the caller is willing to wait. random is in [0, 1).
func RetryAfter(backlog, left time.Duration, random float64) time.Duration {
	longest := min(2*max(backlog, minBacklog), time.Duration(maxRetryShare*float64(max(left, 0))))
	return longest/4 + time.Duration(random*0.75*float64(longest))
}

// Status is the state of admission to one service as shown to operators.
type Status struct {
	Service string `json:"service"`
	// Admitted is the least urgent level admitted.
	Admitted string `json:"admitted"`
	// Refused is the number of refused requests by reason.
	Refused map[string]uint64 `json:"refused"`
}

// Services returns the names of the services that have been heard of, sorted.
func (a *Admission) Services() []string { return slices.Sorted(maps.Keys(a.services)) }
