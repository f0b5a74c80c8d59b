package standin_test

import (
	"testing"

	"hemlockmast/internal/endpointside/endpoint/contracttest"
	"hemlockmast/internal/testing/standin"
)

// TestContract runs the tests of the endpoint contract with each kind of disk.
func TestContract(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		contracttest.Run(t, func(t *testing.T, slot string) contracttest.Endpoint {
			return start(t, standin.Config{Slot: slot, ConnLimit: 8})
		})
	})
	t.Run("files", func(t *testing.T) {
		contracttest.Run(t, func(t *testing.T, slot string) contracttest.Endpoint {
			return start(t, standin.Config{Slot: slot, ConnLimit: 8, DataDir: t.TempDir()})
		})
	})
}
