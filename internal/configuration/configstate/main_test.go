package configstate

import (
	"flag"
	"os"
	"testing"
)

// propertySeed makes property tests repeat the same cases; -rapid.seed gives
// another one.
const propertySeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(propertySeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
