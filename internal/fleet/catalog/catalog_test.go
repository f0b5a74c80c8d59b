package catalog

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	fleetpb "hemlockmast/api/fleet"
)

func route(name, database string) *fleetpb.Route {
	return &fleetpb.Route{
		Name: name, Database: database, Path: "/", Service: "s", TimeoutMs: 100,
		Level: fleetpb.Level_LEVEL_CURRENT,
	}
}

func TestCheck(t *testing.T) {
	base := func() *fleetpb.Configuration {
		return &fleetpb.Configuration{
			Version: 3, Services: []*fleetpb.Service{{Name: "s"}},
			Routes: []*fleetpb.Route{route("a", "x"), route("b", "y")},
		}
	}
	assert.NilError(t, Check(base()))
	mistakes := map[Problem]func(*fleetpb.Configuration){
		NoVersion:         func(c *fleetpb.Configuration) { c.Version = 0 },
		NoName:            func(c *fleetpb.Configuration) { c.Routes[0].Database = "" },
		DuplicateName:     func(c *fleetpb.Configuration) { c.Routes[1].Name = "a" },
		DuplicateRouteKey: func(c *fleetpb.Configuration) { c.Routes[1].Database = "x" },
		UnknownService:    func(c *fleetpb.Configuration) { c.Routes[1].Service = "other" },
		NoTimeout:         func(c *fleetpb.Configuration) { c.Routes[1].TimeoutMs = 0 },
		NoLevel:           func(c *fleetpb.Configuration) { c.Routes[1].Level = 0 },
	}
	for problem, change := range mistakes {
		c := base()
		change(c)
		var invalid *InvalidError
		assert.Assert(t, errors.As(Check(c), &invalid), problemTexts[problem])
		assert.Equal(t, invalid.Problem, problem)
	}
}

// TestUpdateOfDiffIsNext applies the difference of two random configurations to the first:
// the result must be the second. The update must fail on a configuration with another
// version than the first, and must not change one that is newer than the second.
func TestUpdateOfDiffIsNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, version uint64) *fleetpb.Configuration {
			c := &fleetpb.Configuration{Version: version, Services: []*fleetpb.Service{{Name: "s"}}}
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID[int]).Draw(t, label) {
				r := route(fmt.Sprint(n), fmt.Sprint(n))
				r.TimeoutMs = rapid.Uint32Range(1, 3).Draw(t, "timeout")
				c.Routes = append(c.Routes, r)
			}
			return c
		}
		base, next := draw("base", 5), draw("next", 9)
		got, err := Apply(base, Diff(base, next))
		assert.NilError(t, err)
		for _, c := range []*fleetpb.Configuration{got, next} {
			slices.SortFunc(c.Routes, func(a, b *fleetpb.Route) int { return strings.Compare(a.Name, b.Name) })
		}
		assert.Assert(t, proto.Equal(got, next))
		_, err = Apply(&fleetpb.Configuration{Version: 6}, Diff(base, next))
		var wrong *BaseVersionError
		assert.Assert(t, errors.As(err, &wrong))
		whole, err := Apply(nil, Diff(nil, next))
		assert.NilError(t, err)
		assert.Equal(t, whole.Version, uint64(9))
		older, err := Apply(&fleetpb.Configuration{Version: 10}, Diff(base, next))
		assert.NilError(t, err)
		assert.Equal(t, older.Version, uint64(10))
	})
}
