package configstate

import (
	"flag"
	"os"
	"testing"
)

// propertySeed is the default seed of the property tests, so that each run
// repeats the same cases. The flag -rapid.seed overrides it.
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
