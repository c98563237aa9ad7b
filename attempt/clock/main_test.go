package clock

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets rapid's seed. A flag on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
