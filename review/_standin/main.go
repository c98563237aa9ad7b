// Command standin runs the scripted cases of the review: a small stand-in of the platform, of workers and of clients
// around the project's own daemons.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

var cases = map[string]func(r *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		cleanup()
		os.Exit(2)
	}()
	r := newRecord(os.Args[2])
	r.log("case %s, TROUBLE=%s", os.Args[1], os.Getenv("TROUBLE"))
	var err error
	if tempDir, err = os.MkdirTemp("", "review-"); err != nil {
		fatal(err)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fatal(err)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		cleanup()
	} else {
		dir := tempDir
		tempDir = ""
		cleanup()
		fmt.Println("logs in", dir)
	}
	if broken {
		r.log("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	r.log("the rule held")
	fmt.Println("the rule held")
}
