package hop

import (
	"net/http"
	"strconv"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/report"
	"berylpass/choice/room"
)

// Ending is how an attempt ended at the guard.
type Ending string

// The endings.
const (
	// Ran means that the backend server ran the request and that its complete answer follows.
	Ran Ending = "ran"
	// NotRun means that the attempt has not run and never will.
	NotRun Ending = "not-run"
	// Unknown means that the backend server may have run the request.
	Unknown Ending = "unknown"
)

// Report tells the ingress how an attempt ended and what load the backend server has.
type Report struct {
	Attempt id.ID
	Ending  Ending
	// Reason says in kebab case why the ending is not Ran.
	Reason string
	// RetryAfter is the advised pause before the request is tried again; zero for no advice.
	RetryAfter time.Duration
	// Incarnation is the guard's incarnation, Clock its clock in milliseconds since its start.
	Incarnation uint64
	Clock       int64
	// Revision is the revision of the guard's configuration.
	Revision uint64
	// ServiceTime is how long the backend server took to answer.
	ServiceTime time.Duration
	// Load is the guard's measurements of the backend server; nil if there are none.
	Load *report.Report
	// Room is the room at the backend server by level of urgency; nil if the guard tells none.
	Room *room.Room
}

// Write sets the report's headers in h.
func (p Report) Write(h http.Header) {
	h.Set(Prefix+"Attempt", p.Attempt.String())
	h.Set(Prefix+"Ending", string(p.Ending))
	setText(h, "Reason", p.Reason)
	h.Set(Prefix+"Retry-After-Ms", strconv.FormatInt(p.RetryAfter.Milliseconds(), 10))
	h.Set(Prefix+"Incarnation", strconv.FormatUint(p.Incarnation, 10))
	h.Set(Prefix+"Clock", strconv.FormatInt(p.Clock, 10))
	h.Set(Prefix+"Revision", strconv.FormatUint(p.Revision, 10))
	h.Set(Prefix+"Service-Us", strconv.FormatInt(p.ServiceTime.Microseconds(), 10))
	if p.Load != nil {
		if text, err := p.Load.MarshalText(); err == nil {
			h.Set(Prefix+"Load", string(text))
		}
	}
	if p.Room != nil {
		if text, err := p.Room.MarshalText(); err == nil {
			h.Set(Prefix+"Room", string(text))
		}
	}
}

// ReadReport reads the report that Write wrote to h. Its error wraps ErrMalformed.
func ReadReport(h http.Header) (Report, error) {
	r := reader{header: h}
	p := Report{
		Ending:      Ending(h.Get(Prefix + "Ending")),
		Reason:      r.text("Reason"),
		RetryAfter:  r.duration("Retry-After-Ms", time.Millisecond),
		Incarnation: r.unsigned("Incarnation"),
		Clock:       r.signed("Clock"),
		Revision:    r.unsigned("Revision"),
		ServiceTime: r.duration("Service-Us", time.Microsecond),
	}
	attempt, err := id.Parse(h.Get(Prefix + "Attempt"))
	r.setError("Attempt", err)
	p.Attempt = attempt
	if text := h.Get(Prefix + "Load"); text != "" {
		p.Load = &report.Report{}
		r.setError("Load", p.Load.UnmarshalText([]byte(text)))
	}
	if text := h.Get(Prefix + "Room"); text != "" {
		p.Room = &room.Room{}
		r.setError("Room", p.Room.UnmarshalText([]byte(text)))
	}
	if p.Ending != Ran && p.Ending != NotRun && p.Ending != Unknown {
		r.setError("Ending", ErrMalformed)
	}
	return p, r.err
}
