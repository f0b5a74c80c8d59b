package confspread

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"hemlockmast/api/confspread"
	"hemlockmast/api/service"
	"hemlockmast/internal/configuration/spreadstate"
)

// TestDamagedFile starts a daemon with a damaged file. The daemon must report
// the damage, serve no callers until control confirms its revision, and then
// store a valid file.
func TestDamagedFile(t *testing.T) {
	damage := map[string]func(data []byte) []byte{
		"cut header":  func(data []byte) []byte { return data[:10] },
		"cut content": func(data []byte) []byte { return data[:len(data)-1] },
		"empty":       func([]byte) []byte { return nil },
		"magic":       func(data []byte) []byte { data[0]++; return data },
		"length":      func(data []byte) []byte { data[11]++; return data },
		"checksum":    func(data []byte) []byte { data[12]++; return data },
		"content":     func(data []byte) []byte { data[len(data)-3]++; return data },
		"appended":    func(data []byte) []byte { return append(data, 0) },
	}
	for name, change := range damage {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			store := NewStore(t.TempDir())
			assert.NilError(t, store.Save(testConfigurationAt(1)))
			data, err := os.ReadFile(store.path())
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(store.path(), change(data), 0o600))
			c.publish()
			c.agreement.noQuorum.Store(true)
			d := c.start(c.members[0], store)
			damaged, ok := d.StoreError().(*DamagedFileError)
			assert.Assert(t, ok, "%v", d.StoreError())
			assert.Equal(t, damaged.File, store.path())
			c.clockOffset.Add(int64(spreadstate.StartupConfirmTimeout))
			assert.Equal(t, d.State().Mode, confspread.Mode_MODE_STARTING)
			c.agreement.noQuorum.Store(false)
			c.waitAll(1)
			_, err = store.Load()
			assert.NilError(t, err)
		})
	}
}

// TestStoreFails makes writing the new file fail, and then also the removal of
// the old one. In the first case a restart must not load the older revision; in
// the second the new revision must not come into force.
func TestStoreFails(t *testing.T) {
	block := func(store *Store, name string) {
		assert.NilError(t, os.MkdirAll(filepath.Join(store.dir, name, "x"), 0o700))
	}
	t.Run("write", func(t *testing.T) {
		store := NewStore(t.TempDir())
		assert.NilError(t, store.Save(testConfigurationAt(1)))
		block(store, storeFile+".tmp")
		assert.NilError(t, store.Save(testConfigurationAt(2)))
		stored, err := store.Load()
		assert.NilError(t, err)
		assert.Assert(t, stored == nil, "a restart would load the older revision")
	})
	t.Run("write and removal", func(t *testing.T) {
		c := newCluster(t, 1, 1)
		store := NewStore(t.TempDir())
		block(store, storeFile)
		// The publication comes first. A daemon that starts before it may be
		// confirmed to be current without a configuration.
		c.publish()
		d := c.start(c.members[0], store)
		c.waitFor("confirmation", func() bool { return !d.State().ConfirmedAt.IsZero() })
		assert.Equal(t, d.State().Revision, uint64(0))
		assert.Equal(t, d.State().Mode, confspread.Mode_MODE_STARTING)
		// A rename unblocks the path in one step. During a RemoveAll the daemon's
		// own removal could succeed, which would put revision 1 in force without a
		// file.
		assert.NilError(t, os.Rename(store.path(), filepath.Join(t.TempDir(), "blocked")))
		c.waitAll(1)
		assert.NilError(t, os.Remove(store.path()))
		block(store, storeFile)
		c.publish()
		c.waitFor("unconfirmed daemon", func() bool { return d.State().Mode == confspread.Mode_MODE_UNCONFIRMED })
		assert.Equal(t, d.State().Revision, uint64(1))
	})
}

func testConfigurationAt(revision uint64) *service.Configuration {
	cfg := testConfiguration(0, "stored")
	cfg.Revision = revision
	return cfg
}

// FuzzStore decodes arbitrary file contents. Each must give either a
// configuration or *DamagedFileError.
func FuzzStore(f *testing.F) {
	store := NewStore(f.TempDir())
	assert.NilError(f, store.Save(testConfigurationAt(1)))
	good, err := os.ReadFile(store.path())
	assert.NilError(f, err)
	f.Add(good)
	f.Add(good[:storeHeaderBytes])
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := store.decode(data)
		var damaged *DamagedFileError
		assert.Equal(t, cfg == nil, errors.As(err, &damaged), "%v", err)
	})
}
