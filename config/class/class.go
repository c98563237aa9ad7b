// Package class names the kinds of work that a route carries.
//
// The class decides the order in which a guard serves waiting requests.
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

// Class is the kind of work of a route. Lower values are served first.
type Class uint8

// The classes, in order of precedence.
const (
	// Reservation is work that must not double: bookings, renewals, confirmations.
	Reservation Class = iota
	// Transfer is uploads and lookups, which may wait but must arrive.
	Transfer
	// Background is work that gives way to all other work.
	Background
	// Count is the number of classes.
	Count
)

// ErrUnknown reports a class name that is not in the list.
var ErrUnknown = errors.New("unknown class")

var names = [Count]string{"reservation", "transfer", "background"}

// Parse returns the class with the given kebab-case name.
func Parse(name string) (Class, error) {
	for c, n := range names {
		if n == name {
			return Class(c), nil
		}
	}
	return 0, fmt.Errorf("%w %q: allowed are %s", ErrUnknown, name, strings.Join(names[:], ", "))
}

// String returns the kebab-case name of the class.
func (c Class) String() string {
	if c >= Count {
		return "unknown"
	}
	return names[c]
}
