package ingress

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"berylpass/choice/admission"
	"berylpass/choice/gate"
	"berylpass/choice/room"
	"berylpass/choice/urgency"
	"berylpass/fleet/backend"
	"berylpass/guard"
)

// ReasonNoRoom means that the service can't answer the request in time, as it has no room left by more urgent ones.
const ReasonNoRoom = "no-room"

// loadReasons are the reasons of refusals for a lack of room.
var loadReasons = map[string]bool{
	ReasonNoRoom:               true,
	guard.ReasonNoRoomForCalls: true,
	guard.ReasonShed:           true,
	gate.Late.String():         true,
	gate.QueueFull.String():    true,
	gate.Displaced.String():    true,
	gate.Busy.String():         true,
	gate.Stalled.String():      true,
	gate.Failing.String():      true,
}

// door decides which requests are admitted, and counts the refusals of each service. It is safe for concurrent use.
type door struct {
	mu        sync.Mutex
	admission *admission.Admission
	// refused counts refused requests by service and reason.
	refused map[string]map[string]uint64
}

func newDoor() *door {
	return &door{admission: admission.New(), refused: map[string]map[string]uint64{}}
}

// hear passes on what a guard said of its backend server.
func (d *door) hear(now time.Time, service string, of backend.ID, r room.Room) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.Update(now, admission.RoomHeard{Service: service, Backend: of, Room: r})
}

// count counts a request that ended as not run.
func (d *door) count(service, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refused[service] == nil {
		d.refused[service] = map[string]uint64{}
	}
	d.refused[service][reason]++
}

// CallWait returns the expected wait of a call to a service; zero if too little is known.
func (i *Ingress) CallWait(service string) time.Duration {
	i.door.mu.Lock()
	defer i.door.mu.Unlock()
	return i.door.admission.CallWait(i.Clock(), service)
}

// Admission returns, for each service that this ingress has heard of or refused requests of, the least urgent level
// admitted and the refusals by reason, sorted by service.
func (i *Ingress) Admission() []admission.Status {
	i.door.mu.Lock()
	defer i.door.mu.Unlock()
	var all []admission.Status
	for _, name := range i.door.admission.Services() {
		all = append(all, admission.Status{Service: name, Admitted: i.door.admission.Level(name).String(), Refused: maps.Clone(i.door.refused[name])})
	}
	for name, refused := range i.door.refused {
		if !slices.ContainsFunc(all, func(s admission.Status) bool { return s.Service == name }) {
			all = append(all, admission.Status{Service: name, Admitted: urgency.Fourth.String(), Refused: maps.Clone(refused)})
		}
	}
	slices.SortFunc(all, func(a, b admission.Status) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// refuse returns the result of a request for which its service has no room, and true; false if it is admitted.
func (i *Ingress) refuse(x *exchange) (result, bool) {
	if !i.Ranked {
		return result{}, false
	}
	now := i.Clock()
	arrived := admission.Arrived{Service: x.service, Level: x.rank.Level, Organisation: x.rank.Owner, Left: x.deadline.Sub(now),
		Random: i.Random(), Spread: i.Random()}
	i.door.mu.Lock()
	actions := i.door.admission.Update(now, arrived)
	i.door.mu.Unlock()
	end, refused := result{}, false
	for _, action := range actions {
		switch a := action.(type) {
		case admission.Refused:
			refused = true
			end = result{outcome: NotRun, reason: ReasonNoRoom, status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter, attempt: x.id}
		case admission.Closed:
			i.Observer.LevelClosed(a)
		case admission.Opened:
			i.Observer.LevelOpened(a)
		}
	}
	return end, refused
}

// spread returns the advice when to come back for a request that was refused with the given advice: callers that were
// refused together for a lack of room must not return together, nor later than they can use.
func (x *exchange) spread(reason string, advice time.Duration) time.Duration {
	i := x.ingress
	if !i.Ranked || !loadReasons[reason] {
		return advice
	}
	return admission.RetryAfter(advice, x.callerDeadline().Sub(i.Clock()), i.Random())
}
