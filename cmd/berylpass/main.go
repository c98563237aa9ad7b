// Command berylpass is the daemon and the operators' tool of a proxy fleet.
package main

func main() {}
