// Package id identifies attempts: each time a request is sent to a guard, it has its own ID.
//
// # Usage
//
//	first := id.New("vm-17", 1764846093, 42)
//	retry := first.WithAttempt(1)
//	parsed, err := id.Parse(first.String())
package id

import (
	"cmp"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"berylpass/fleet/member"
)

// ErrMalformed is returned for text that is not an attempt ID.
var ErrMalformed = errors.New("malformed attempt ID: want ingress/incarnation/request/attempt")

// ID identifies one attempt. IDs are unique: an ingress numbers the requests since its
// start, and its incarnation rises with each start.
type ID struct {
	Ingress     member.ID
	Incarnation uint64
	Request     uint64
	Attempt     uint8
}

// New returns the ID of the first attempt of a request, attempt 0.
func New(ingress member.ID, incarnation, request uint64) ID {
	return ID{Ingress: ingress, Incarnation: incarnation, Request: request}
}

// WithAttempt returns the ID of attempt n of the same request.
func (i ID) WithAttempt(n uint8) ID {
	i.Attempt = n
	return i
}

// String returns the ID in the form ingress/incarnation/request/attempt.
func (i ID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", i.Ingress, i.Incarnation, i.Request, i.Attempt)
}

// Compare orders IDs by ingress, incarnation, request and attempt.
func (i ID) Compare(other ID) int {
	return cmp.Or(
		cmp.Compare(i.Ingress, other.Ingress),
		cmp.Compare(i.Incarnation, other.Incarnation),
		cmp.Compare(i.Request, other.Request),
		cmp.Compare(i.Attempt, other.Attempt),
	)
}

// Parse parses an ID in the form that String returns. Its error is ErrMalformed.
func Parse(text string) (ID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 4 || parts[0] == "" {
		return ID{}, ErrMalformed
	}
	incarnation, errI := strconv.ParseUint(parts[1], 10, 64)
	request, errR := strconv.ParseUint(parts[2], 10, 64)
	attempt, errA := strconv.ParseUint(parts[3], 10, 8)
	if errors.Join(errI, errR, errA) != nil {
		return ID{}, ErrMalformed
	}
	return New(member.ID(parts[0]), incarnation, request).WithAttempt(uint8(attempt)), nil
}
