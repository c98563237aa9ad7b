// Package class names the classes of requests.
//
// While requests of several classes wait for a backend server, the class decides their share
// of its slots.
//
// # Usage
//
//	c, err := class.Parse("background")
//	if errors.Is(err, class.ErrUnknown) { ... }
package class

import (
	"errors"
	"fmt"
	"strings"
)

// Class is the class of a request. While requests wait, lower values get a larger share of
// the slots.
type Class uint8

// The classes, from the largest share of the slots to the smallest.
const (
	// Reservation is for requests that must not run twice: bookings, renewals, confirmations.
	Reservation Class = iota
	// Transfer is for uploads and lookups, which may wait but must be served.
	Transfer
	// Background is for requests that give way to those of all other classes, without being
	// starved by them.
	Background
	// Count is the number of classes.
	Count
)

// ErrUnknown reports a name that is not the name of a class.
var ErrUnknown = errors.New("unknown class")

var names = [Count]string{"reservation", "transfer", "background"}

// Parse returns the class with the given kebab-case name. Its error wraps ErrUnknown.
func Parse(name string) (Class, error) {
	for c, n := range names {
		if n == name {
			return Class(c), nil
		}
	}
	return 0, fmt.Errorf("%w %q: allowed are %s", ErrUnknown, name, strings.Join(names[:], ", "))
}

// String returns the kebab-case name of the class, "unknown" for a value that is no class.
func (c Class) String() string {
	if c >= Count {
		return "unknown"
	}
	return names[c]
}
