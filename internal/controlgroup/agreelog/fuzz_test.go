package agreelog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzDecode decodes arbitrary bytes. The result must be a typed error or content
// whose entries are contiguous.
func FuzzDecode(f *testing.F) {
	payload, err := encodeRecord("f", checkpointOf(testID, Content{}.State))
	assert.NilError(f, err)
	whole := appendFrame(nil, 1, payload)
	f.Add(whole)
	f.Add(appendFrame(whole, 2, nil))
	f.Add(appendFrame(whole, 2, []byte{0x12, 0x02, 0x10, 0x05}))
	f.Add(whole[:len(whole)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decodeFile("f", data)
		switch err.(type) {
		case *DamageError, *VersionError:
			return
		}
		assert.NilError(t, err)
		for i, e := range c.State.Entries {
			assert.Equal(t, e.Index, c.State.Snapshot.GetIndex()+1+uint64(i))
		}
		assert.Assert(t, c.TornBytes >= 0 && c.TornBytes < int64(len(data)))
	})
}
