package packed

import (
	"encoding/binary"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	fleetpb "hemlockmast/api/fleet"
)

// configuration returns a configuration with the given number of routes.
func configuration(routes int) *fleetpb.Configuration {
	c := &fleetpb.Configuration{Version: 7}
	for i := range routes {
		c.Routes = append(c.Routes, &fleetpb.Route{
			Name: fmt.Sprintf("r-%07d", i), Database: fmt.Sprintf("db%dx%d", i, i%20), Path: "/", Service: "jefi2r",
			Level: fleetpb.Level_LEVEL_SESSION, StalenessLimitMs: 2500, TimeoutMs: 800, TargetMs: 400, Priority: 2,
		})
	}
	return c
}

// TestConfigurationCompressesToHalf checks that compression at least halves the size of a
// large configuration, and that Unmarshal restores it.
func TestConfigurationCompressesToHalf(t *testing.T) {
	c := configuration(1000)
	data, err := Marshal(c)
	assert.NilError(t, err)
	assert.Assert(t, 2*len(data) < proto.Size(c), "%d of %d bytes", len(data), proto.Size(c))
	back := &fleetpb.Configuration{}
	assert.NilError(t, Unmarshal(data, back))
	assert.Assert(t, proto.Equal(c, back))
}

// TestDamagedMessageIsAnError decodes a truncated message, an empty one, and one that claims
// a decompressed size above the limit.
func TestDamagedMessageIsAnError(t *testing.T) {
	data, err := Marshal(configuration(20))
	assert.NilError(t, err)
	var damaged *Error
	assert.Assert(t, errors.As(Unmarshal(data[:len(data)/2], &fleetpb.Configuration{}), &damaged))
	assert.Assert(t, errors.As(Unmarshal(nil, &fleetpb.Configuration{}), &damaged))
	var size *SizeError
	huge := binary.AppendUvarint(nil, 1<<31)
	assert.Assert(t, errors.As(Unmarshal(append(huge, 1, 2, 3), &fleetpb.Configuration{}), &size))
}

func FuzzUnmarshal(f *testing.F) {
	data, err := Marshal(configuration(3))
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_ = Unmarshal(data, &fleetpb.Configuration{})
	})
}
