package daisygateway_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random checks.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "41"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
