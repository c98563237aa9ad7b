// Package header filters the HTTP headers that the daemons forward.
//
// Hop-by-hop headers apply to one connection and are not forwarded. Headers whose
// names start with InternalPrefix are exchanged between daemons; neither a caller nor
// a backend server may set them. A caller's key is not forwarded beyond the ingress.
//
// # Usage
//
//	toGuard := header.FromCaller(request.Header)  // at the ingress, after reading the key
//	toBackend := header.ToBackend(request.Header) // at the guard
//	toCaller := header.FromBackend(answer.Header) // at the guard
package header

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// InternalPrefix is the prefix of the names of headers that only daemons may set.
	InternalPrefix = "Bp-"
	// TimeoutMS tells a backend server how many milliseconds are left until the request's deadline.
	TimeoutMS = InternalPrefix + "Timeout-Ms"
	// NotRun marks an answer with status 503 as a refusal: the backend server has not begun
	// to run the request.
	NotRun = "Berylpass-Not-Run"
	// Authorization carries a caller's key as a bearer token.
	Authorization = "Authorization"
	// APIKey carries a caller's key alone, without a scheme such as Bearer.
	APIKey = "X-Api-Key"
)

// hopByHop are the canonical names of the hop-by-hop headers (RFC 9110, section 7.6.1,
// and those of older specifications).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Authentication-Info", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Http2-Settings",
}

// FromCaller returns a copy of a caller's headers without hop-by-hop and
// internal headers and without the caller's key.
func FromCaller(h http.Header) http.Header { return strip(h, isInternalOrKey) }

// ToBackend returns a copy of forwarded headers without hop-by-hop and internal
// headers and without those that could carry a caller's key.
func ToBackend(h http.Header) http.Header { return strip(h, isInternalOrKey) }

// FromBackend returns a copy of a backend server's answer headers without
// hop-by-hop and internal headers.
func FromBackend(h http.Header) http.Header { return strip(h, isInternal) }

// EndToEnd returns a copy of headers without hop-by-hop and internal headers.
func EndToEnd(h http.Header) http.Header { return strip(h, isInternal) }

// strip returns a copy of h, with canonical names, without hop-by-hop headers, headers
// that Connection names, and those for whose canonical name excluded returns true.
func strip(h http.Header, excluded func(name string) bool) http.Header {
	dropped := droppedNames(h)
	kept := make(http.Header, len(h))
	for name, values := range h {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if dropped[canonical] || excluded(canonical) {
			continue
		}
		kept[canonical] = append(kept[canonical], values...)
	}
	return kept
}

// droppedNames returns the hop-by-hop headers together with those that Connection names.
func droppedNames(h http.Header) map[string]bool {
	dropped := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		dropped[name] = true
	}
	for name, values := range h {
		if !strings.EqualFold(name, "Connection") {
			continue
		}
		for _, listed := range strings.Split(strings.Join(values, ","), ",") {
			dropped[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(listed))] = true
		}
	}
	return dropped
}

// isInternal reports whether the name starts with InternalPrefix in any case.
func isInternal(canonical string) bool {
	return len(canonical) >= len(InternalPrefix) && strings.EqualFold(canonical[:len(InternalPrefix)], InternalPrefix)
}

// isInternalOrKey reports whether the header is internal or could carry a caller's key.
func isInternalOrKey(canonical string) bool {
	return isInternal(canonical) || canonical == Authorization || canonical == APIKey
}
