package budget

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, unless the command line names one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
