// Package scenario measures the choice of backend servers in virtual time: it connects
// pickers and gates to a queueing model of backend servers. It contains only tests.
//
// # Usage
//
//	go test ./choice/scenario -run TestDetection -v
//	go test ./choice/scenario -run TestFalseEjections -v -virtual-time 1h
package scenario
