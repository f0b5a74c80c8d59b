package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/internal/shared/logpos"
	"hemlockmast/internal/testing/standin/store"
)

func record(i uint64) store.Record {
	return store.Record{Pos: logpos.Pos{Term: 1, Index: i}, Ops: []store.Op{{Kind: store.OpPut, Key: "k"}}}
}

func writeJournal(t *testing.T, dir string) {
	d, err := OpenFile(dir)
	assert.NilError(t, err)
	assert.NilError(t, d.SaveMeta(Meta{Incarnation: "a", FencedTerm: 1}))
	assert.NilError(t, d.Append([]store.Record{record(1), record(2)}))
	assert.NilError(t, d.Truncate(1))
	assert.NilError(t, d.SaveMeta(Meta{Incarnation: "a", FencedTerm: 7}))
	assert.NilError(t, d.Append([]store.Record{record(2)}))
	assert.NilError(t, d.Close())
}

// TestFileAfterDamage damages the journal at every byte. A truncated journal must
// load as a prefix of what was written. A flipped bit must be detected: OpenFile
// returns a *CorruptError, or drops the damaged last entry as torn.
func TestFileAfterDamage(t *testing.T) {
	intactDir := t.TempDir()
	writeJournal(t, intactDir)
	intact, err := os.ReadFile(filepath.Join(intactDir, fileName))
	assert.NilError(t, err)
	dir := t.TempDir()
	path := filepath.Join(dir, fileName)
	for i := range intact {
		assert.NilError(t, os.WriteFile(path, intact[:i], 0o600))
		d, err := OpenFile(dir)
		assert.NilError(t, err, "cut at %d", i)
		meta, log, err := d.Load()
		assert.NilError(t, err)
		assert.Assert(t, len(log) <= 2 && meta.FencedTerm <= 7)
		if meta.FencedTerm == 7 {
			assert.Equal(t, len(log), 1, "cut at %d", i)
		}
		assert.NilError(t, d.Append([]store.Record{record(9)}))
		assert.NilError(t, d.Close())

		damaged := append([]byte(nil), intact...)
		damaged[i] ^= 0x40
		assert.NilError(t, os.WriteFile(path, damaged, 0o600))
		d, err = OpenFile(dir)
		if err != nil {
			var c *CorruptError
			assert.Assert(t, errors.As(err, &c), "%v", err)
			continue
		}
		_, log, err = d.Load()
		assert.NilError(t, err)
		assert.Assert(t, len(log) < 2, "the flipped bit in byte %d was not detected", i)
		assert.NilError(t, d.Close())
	}
}

func TestFileWipe(t *testing.T) {
	dir := t.TempDir()
	writeJournal(t, dir)
	d, err := OpenFile(dir)
	assert.NilError(t, err)
	assert.NilError(t, d.Wipe())
	assert.NilError(t, d.Append([]store.Record{record(1)}))
	assert.NilError(t, d.Close())
	d, err = OpenFile(dir)
	assert.NilError(t, err)
	meta, log, err := d.Load()
	assert.NilError(t, err)
	assert.Equal(t, meta, Meta{})
	assert.Equal(t, len(log), 1)
	assert.NilError(t, d.Close())
}
