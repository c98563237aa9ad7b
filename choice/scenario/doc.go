// Package scenario holds measurements of the choice of backend servers in
// virtual time: pickers and gates joined by a queueing model of backend servers.
// It has tests only.
//
// # Usage
//
//	go test ./choice/scenario -run TestDetection -v
//	go test ./choice/scenario -run TestFalseEjections -v -virtual-time 1h
package scenario
