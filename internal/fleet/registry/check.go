package registry

import (
	"fmt"
	"net/netip"
	"unicode"

	fleetpb "hemlockmast/api/fleet"
)

const (
	// maxNameBytes bounds an id, a service and a failure domain: every daemon holds them, and
	// log lines contain them.
	maxNameBytes = 255
	// maxBornMs bounds the start of a process, in Unix milliseconds: the year 2109.
	maxBornMs = 1 << 42
	// maxSequence bounds the number of an announcement, which need not begin at 1. JSON numbers
	// are exact up to here in every language.
	maxSequence = 1 << 53
	// maxSlots bounds the statements that an endpoint says to run at once.
	maxSlots = 1 << 16
)

// InvalidError reports an announcement that names no endpoint to use.
type InvalidError struct {
	// ID is the id in the announcement, at most its first maxNameBytes bytes.
	ID string
	// Field is the name of the first invalid field in fleetpb.Endpoint.
	Field string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("announcement of %q has an invalid %s", e.ID, e.Field)
}

func brief(id string) string { return id[:min(len(id), maxNameBytes)] }

// Check validates an announcement; its failure domain may be empty. Errors: *InvalidError for the first invalid field.
func Check(e *fleetpb.Endpoint) error {
	switch {
	case !isName(e.Id):
		return &InvalidError{ID: brief(e.Id), Field: "id"}
	case !isName(e.Service):
		return &InvalidError{ID: brief(e.Id), Field: "service"}
	case e.FailureDomain != "" && !isName(e.FailureDomain):
		return &InvalidError{ID: brief(e.Id), Field: "failure_domain"}
	case !isAddress(e.Address):
		return &InvalidError{ID: brief(e.Id), Field: "address"}
	case !isState(e.State):
		return &InvalidError{ID: brief(e.Id), Field: "state"}
	case e.BornMs < 0 || e.BornMs > maxBornMs:
		return &InvalidError{ID: brief(e.Id), Field: "born_ms"}
	case e.Sequence > maxSequence:
		return &InvalidError{ID: brief(e.Id), Field: "sequence"}
	case e.Slots > maxSlots:
		return &InvalidError{ID: brief(e.Id), Field: "slots"}
	}
	return nil
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// isAddress reports whether s is the address and port of one host. A connection to an
// unspecified address would reach the daemon's own VM, and an IPv6 zone has no meaning on
// another VM.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return false
	}
	host := a.Addr().Unmap()
	return !host.IsUnspecified() && !host.IsMulticast() && host != broadcast
}

func isState(s fleetpb.EndpointState) bool {
	switch s {
	case fleetpb.EndpointState_ENDPOINT_STATE_READY, fleetpb.EndpointState_ENDPOINT_STATE_LEAVING,
		fleetpb.EndpointState_ENDPOINT_STATE_GONE:
		return true
	}
	return false
}

// isName reports whether s can be one field of a line that is sent to an endpoint, and part of
// a message between daemons: protobuf encodes only strings that are UTF-8.
func isName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for _, r := range s {
		// Bytes that are not UTF-8 decode to ReplacementChar.
		if r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsGraphic(r) {
			return false
		}
	}
	return true
}
