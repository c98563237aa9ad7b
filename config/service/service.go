// Package service describes services: groups of interchangeable backend servers.
//
// # Usage
//
//	s := service.New("catalogue-desk").WithFloor(0.5)
package service

import "time"

// The values of a new service.
const (
	DefaultFloor = 0.5
	DefaultRamp  = 10 * time.Second
	DefaultSlots = 4
)

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Floor is the share of healthy capacity, from 0 to 1, that ejections must leave in use.
	Floor float64
	// Ramp is the time in which a freshly started backend server reaches all its slots.
	Ramp time.Duration
	// Slots is the number of requests at once on a backend server that announces no slots of
	// its own.
	Slots int
	// ColdRate is the largest rate, in requests per second, for a backend server while it
	// announces that it is cold; 0 for no bound.
	ColdRate float64
	// HealthPath is the path of health checks; empty if the service has none.
	HealthPath string
	// Breaker reports whether the backend servers have circuit breakers, which open at the
	// first failed answer.
	Breaker bool
}

// New returns a service of the given name with the default floor, ramp and slots.
func New(name string) Service {
	return Service{Name: name, Floor: DefaultFloor, Ramp: DefaultRamp, Slots: DefaultSlots}
}

// WithFloor returns a copy with the floor, a share from 0 to 1.
func (s Service) WithFloor(share float64) Service {
	s.Floor = share
	return s
}

// WithRamp returns a copy whose backend servers take ramp to reach all their slots.
func (s Service) WithRamp(ramp time.Duration) Service {
	s.Ramp = ramp
	return s
}

// WithSlots returns a copy with n slots for a backend server that announces none.
func (s Service) WithSlots(n int) Service {
	s.Slots = n
	return s
}

// WithColdRate returns a copy whose backend servers get at most perSecond requests per second
// while they are cold.
func (s Service) WithColdRate(perSecond float64) Service {
	s.ColdRate = perSecond
	return s
}

// WithBreaker returns a copy whose backend servers have circuit breakers.
func (s Service) WithBreaker() Service {
	s.Breaker = true
	return s
}

// WithHealthPath returns a copy with the path of health checks.
func (s Service) WithHealthPath(path string) Service {
	s.HealthPath = path
	return s
}
