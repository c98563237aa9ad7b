// Package event catalogues the numbered events that a daemon logs.
//
// Each event has a number whose meaning never changes, a kebab-case name and a
// level. Operators search and alert by number. docs/EVENTS.md lists all events; a
// test compares that page with this package. Numbers are grouped by thousands:
//
//	1000 start and shutdown        5000 members and backend servers
//	2000 limits of organisations   6000 configuration and platform
//	3000 attempts                  7000 operators
//	4000 choice of backend servers
//
// # Usage
//
//	event.Ready.Log(&logger).Str("callers", address).Send()
//	// {"level":"info","event":"BP-1002","message":"ready","callers":"10.0.0.17:8080"}
//
// A new event is a new variable in catalogue.go; run
// `go test ./monitor/event -update` afterwards.
package event

import (
	"fmt"

	"github.com/rs/zerolog"
)

// Field is the key of the log field that holds the event's ID.
const Field = "event"

// Event is one kind of numbered log event.
type Event struct {
	Number int
	// Name is the kebab-case name; it is the message of the log line.
	Name string
	// Meaning says what happened and, where the operator should act, what to do.
	Meaning string
	Level   zerolog.Level
}

// ID returns the number in the form in which it is logged, such as BP-1002.
func (e Event) ID() string { return fmt.Sprintf("BP-%04d", e.Number) }

// Log starts a log line for the event. The caller adds fields and calls Send.
func (e Event) Log(logger *zerolog.Logger) *zerolog.Event {
	return logger.WithLevel(e.Level).Str(Field, e.ID()).Str(zerolog.MessageFieldName, e.Name)
}
