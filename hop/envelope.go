// Package hop defines the protocol by which an ingress forwards a request to the guard
// on the VM of the chosen backend server.
//
// A forwarded request keeps its method, path and body. An Envelope carries what the
// guard needs in addition, and the answer carries a Report back to the ingress. Both
// are sent as headers whose names start with Prefix. Callers and backend servers cannot
// set them: such headers are dropped from callers' requests and backend servers' answers.
//
// # Usage
//
//	envelope.Write(request.Header)
//	envelope, err := hop.ReadEnvelope(request.Header)
//	report.Write(response.Header())
//	report, err := hop.ReadReport(response.Header)
package hop

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"berylpass/attempt/id"
	"berylpass/choice/urgency"
	"berylpass/config/class"
	"berylpass/fleet/backend"
	"berylpass/fleet/member"
	"berylpass/header"
)

// Prefix is the start of the name of each header of the protocol.
const Prefix = header.InternalPrefix

// ErrMalformed is wrapped by errors about headers that are not a valid envelope or report.
var ErrMalformed = errors.New("malformed hop headers")

// Envelope tells the guard what to check and where to run a request.
type Envelope struct {
	// Attempt is the ID of this attempt of the request.
	Attempt id.ID
	// RequestID is the caller's ID of the request, for logs; empty if it sent none.
	RequestID string
	// Backend is the backend server that the ingress chose.
	Backend backend.ID
	// Incarnation is the guard's incarnation that the attempt is addressed to.
	Incarnation uint64
	// Expires is the attempt's deadline on the guard's clock, in milliseconds since its start.
	Expires int64
	// TokenExpires is when the rate limit's token expires on the guard's clock, in milliseconds
	// since its start.
	TokenExpires int64
	// TokenHolder is the daemon that issued the token and TokenID its ID, so that the
	// guard can renew the token; empty and 0 if it can't be renewed.
	TokenHolder member.ID
	TokenID     uint64
	// Organisation and KeyID identify the caller; empty for a request on an open route without a
	// known key.
	Organisation string
	KeyID        string
	Route        string
	Class        class.Class
	// Rank decides the place of the request among others; without a level it follows from Class and
	// Organisation.
	Rank urgency.Rank
	// Target is until when the answer should reach the caller on the guard's clock, in milliseconds
	// since its start; 0 for no such time.
	Target int64
	// CallerService is the service of the backend server on the ingress's VM; empty if unknown.
	CallerService string
	// Repeatable reports whether the request may run more than once. Forced reports that the
	// ingress keeps the backend server in use although its breaker is not closed, because of the
	// service's floor or for lack of capacity; the guard then ignores the breaker.
	Repeatable, Forced bool
	// Prompt asks the guard to refuse the request instead of queueing it if no slot is free,
	// because the ingress knows other backend servers for it.
	Prompt bool
	// Repeated reports that an earlier attempt of the request may have reached a backend server.
	Repeated bool
	// Hedge reports that an earlier attempt is in flight and may run to its end; the guard refuses
	// the request if its run would make calls of its own.
	Hedge bool
	// Revision is the revision of the configuration that the ingress used.
	Revision uint64
}

// Write sets the envelope's headers in h.
func (e Envelope) Write(h http.Header) {
	h.Set(Prefix+"Attempt", e.Attempt.String())
	setText(h, "Request-Id", e.RequestID)
	h.Set(Prefix+"Backend", url.QueryEscape(string(e.Backend)))
	h.Set(Prefix+"Incarnation", strconv.FormatUint(e.Incarnation, 10))
	h.Set(Prefix+"Expires", strconv.FormatInt(e.Expires, 10))
	h.Set(Prefix+"Token-Lapses", strconv.FormatInt(e.TokenExpires, 10))
	if e.TokenID != 0 {
		h.Set(Prefix+"Token-Holder", url.QueryEscape(string(e.TokenHolder)))
		h.Set(Prefix+"Token-Id", strconv.FormatUint(e.TokenID, 36))
	}
	setText(h, "Organisation", e.Organisation)
	setText(h, "Key", e.KeyID)
	h.Set(Prefix+"Route", url.QueryEscape(e.Route))
	setText(h, "Caller", e.CallerService)
	setFlag(h, "Repeatable", e.Repeatable)
	setFlag(h, "Forced", e.Forced)
	setFlag(h, "Prompt", e.Prompt)
	setFlag(h, "Repeated", e.Repeated)
	setFlag(h, "Hedge", e.Hedge)
	h.Set(Prefix+"Class", e.Class.String())
	h.Set(Prefix+"Revision", strconv.FormatUint(e.Revision, 10))
	if e.Rank.Level != urgency.Unranked {
		h.Set(Prefix+"Level", strconv.Itoa(int(e.Rank.Level)))
		h.Set(Prefix+"Inherited", strconv.Itoa(int(e.Rank.Inherited)))
		setText(h, "Owner", e.Rank.Owner)
	}
	if e.Target != 0 {
		h.Set(Prefix+"Target", strconv.FormatInt(e.Target, 10))
	}
}

// ReadEnvelope reads the envelope that Write wrote to h. Its error wraps ErrMalformed.
func ReadEnvelope(h http.Header) (Envelope, error) {
	r := reader{header: h}
	e := Envelope{
		RequestID:     r.text("Request-Id"),
		Backend:       backend.ID(r.text("Backend")),
		Incarnation:   r.unsigned("Incarnation"),
		Expires:       r.signed("Expires"),
		TokenExpires:  r.signed("Token-Lapses"),
		TokenHolder:   member.ID(r.text("Token-Holder")),
		TokenID:       r.token("Token-Id"),
		Organisation:  r.text("Organisation"),
		KeyID:         r.text("Key"),
		Route:         r.text("Route"),
		CallerService: r.text("Caller"),
		Repeatable:    h.Get(Prefix+"Repeatable") != "",
		Forced:        h.Get(Prefix+"Forced") != "",
		Prompt:        h.Get(Prefix+"Prompt") != "",
		Repeated:      h.Get(Prefix+"Repeated") != "",
		Hedge:         h.Get(Prefix+"Hedge") != "",
		Revision:      r.unsigned("Revision"),
	}
	attempt, err := id.Parse(h.Get(Prefix + "Attempt"))
	r.setError("Attempt", err)
	e.Attempt = attempt
	c, err := class.Parse(h.Get(Prefix + "Class"))
	r.setError("Class", err)
	e.Class = c
	e.Rank = r.rank()
	if h.Get(Prefix+"Target") != "" {
		e.Target = r.signed("Target")
	}
	return e, r.err
}

// rank reads the rank, which older ingresses leave out.
func (r *reader) rank() urgency.Rank {
	if r.header.Get(Prefix+"Level") == "" {
		return urgency.Rank{}
	}
	level, inherited := r.unsigned("Level"), r.unsigned("Inherited")
	if level == 0 || level >= uint64(urgency.Count) || inherited >= uint64(urgency.Count) {
		r.setError("Level", strconv.ErrRange)
		return urgency.Rank{}
	}
	return urgency.Rank{Level: urgency.Level(level), Inherited: urgency.Level(inherited), Owner: r.text("Owner")}
}

// setText sets a header to the query-escaped value. It leaves out empty values, because nbhttp
// reads an empty header value as a space.
func setText(h http.Header, name, value string) {
	if value != "" {
		h.Set(Prefix+name, url.QueryEscape(value))
	}
}

// setFlag sets a header to "1" if the flag is set and leaves it out otherwise.
func setFlag(h http.Header, name string, set bool) {
	if set {
		h.Set(Prefix+name, "1")
	}
}

// reader reads typed header values and keeps the first error.
type reader struct {
	header http.Header
	err    error
}

// setError records the error of the named header unless there was an error before.
func (r *reader) setError(name string, err error) {
	if err != nil && r.err == nil {
		r.err = fmt.Errorf("%w: %s%s: %w", ErrMalformed, Prefix, name, err)
	}
}

func (r *reader) text(name string) string {
	v, err := url.QueryUnescape(r.header.Get(Prefix + name))
	r.setError(name, err)
	return v
}

func (r *reader) unsigned(name string) uint64 {
	v, err := strconv.ParseUint(r.header.Get(Prefix+name), 10, 64)
	r.setError(name, err)
	return v
}

// token reads the ID of a token, 0 if there is none.
func (r *reader) token(name string) uint64 {
	text := r.header.Get(Prefix + name)
	if text == "" {
		return 0
	}
	v, err := strconv.ParseUint(text, 36, 64)
	r.setError(name, err)
	return v
}

func (r *reader) signed(name string) int64 {
	v, err := strconv.ParseInt(r.header.Get(Prefix+name), 10, 64)
	r.setError(name, err)
	return v
}

// duration reads an integer number of units. A value beyond time.Duration's range is an error.
func (r *reader) duration(name string, unit time.Duration) time.Duration {
	v := r.signed(name)
	if v > int64(math.MaxInt64/unit) || v < int64(math.MinInt64/unit) {
		r.setError(name, strconv.ErrRange)
		return 0
	}
	return time.Duration(v) * unit
}
