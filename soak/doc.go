// Package soak is a randomized soak test with fault injection. It runs the real program
// as separate processes on loopback, injects faults from outside of them, and checks
// that the guarantees to callers and backend servers hold meanwhile.
//
// The seed of a run determines its faults: which daemons are killed, terminated, paused
// or sent SIGHUP; when the links to callers, to backend servers and to the store are
// delayed, reset, refused, or blocked in one or both directions; when the store is
// unavailable, slow or loses responses; when backend servers drain, crash, fail and come
// back; and when keys are withdrawn. From seed 20000 on, backend servers also leave while the
// store is away, their daemons are killed, and late heartbeats arrive. From seed 40000 on, the
// store also goes on from an older copy of its content. The scheduling within
// the processes does not depend on the seed: a seed that has failed may pass the next time.
//
// # Usage
//
//	go test ./soak                                  # the regression seeds and a fixed one
//	go test ./soak -run TestSoak -soak.seeds 50     # seeds 1 to 50
//	go test ./soak -run TestSoak -soak.from 31 -soak.seeds 1 -soak.keep /tmp/soak
package soak
