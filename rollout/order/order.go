// Package order describes an operator's order to move a service to a new version of its software.
//
// # Usage
//
//	o := order.Order{Name: "rounds", Service: "rounds", Target: "v2", Duration: 12 * time.Second}
//	if o.State.Final() { ... }
//	same := o.Key() == other.Key()
package order

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalid reports an order that names no service or no version, or whose duration isn't positive.
var ErrInvalid = errors.New("invalid order")

// State is the state of an order as it is stored.
type State uint8

// The states of an order.
const (
	// Pending means that no daemon has taken the order up yet.
	Pending State = iota
	Running
	// Completed means that only the target version serves; the old backend servers are stopped.
	Completed
	// RolledBack means that the target version must never be used.
	RolledBack
)

var states = [...]string{"pending", "running", "completed", "rolled-back"}

// String returns the kebab-case name of the state.
func (s State) String() string {
	if int(s) >= len(states) {
		return "unknown"
	}
	return states[s]
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Order is an order as it is stored.
type Order struct {
	// Name is the name of the order's object in the store.
	Name    string
	Service string
	// Target is the version that is to serve.
	Target string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// Created is the store's revision at the order's creation, Revision that at its last change.
	Created, Revision uint64
	State             State
	// Age is the time since the fleet first read the order, as of the list that contains it.
	Age time.Duration
}

// Key identifies an order. A changed order is another one, but a written state doesn't change it.
type Key struct {
	Name, Service, Target string
	Duration              time.Duration
	Created               uint64
}

// Key returns the order's key.
func (o Order) Key() Key {
	return Key{Name: o.Name, Service: o.Service, Target: o.Target, Duration: o.Duration, Created: o.Created}
}

// Check returns an error that wraps ErrInvalid if the order can't be carried out.
func (o Order) Check() error {
	if o.Service == "" || o.Target == "" || o.Duration <= 0 {
		return fmt.Errorf("%w: %q names service %q, version %q and duration %s", ErrInvalid, o.Name, o.Service, o.Target, o.Duration)
	}
	return nil
}
