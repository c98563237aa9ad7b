// Package crowd holds the tests in which one daemon meets many callers that stay outside its
// limits, or just inside them: they read nothing, end nothing, or send without end.
//
// Each test starts the daemon's own process with a small memory, a store and a backend server
// on loopback, and lets one such crowd play. It checks that the process lives, that its memory
// and its descriptors stay under those of its settings, and that an ordinary request is
// answered afterwards, while the crowd is still connected. Nothing depends on the speed of the
// machine, but the tests need it for themselves: run one at a time, without the race detector.
//
// # Usage
//
//	go test -count=1 ./crowd
package crowd
