package registry

import (
	"fmt"
	"unicode/utf8"

	fleetpb "hemlockmast/api/fleet"
)

// InvalidError reports an announcement that names no endpoint to use. Field is the name of
// the field in fleetpb.Endpoint.
type InvalidError struct{ Field string }

func (e *InvalidError) Error() string { return fmt.Sprintf("announcement has an invalid %s", e.Field) }

// Check validates an announcement. Errors: *InvalidError for the first invalid field.
func Check(e *fleetpb.Endpoint) error {
	switch {
	case !isName(e.Id):
		return &InvalidError{Field: "id"}
	case !isName(e.Service):
		return &InvalidError{Field: "service"}
	case !isName(e.FailureDomain):
		return &InvalidError{Field: "failure_domain"}
	}
	return nil
}

// isName reports whether s can be part of a message between daemons: protobuf encodes only
// strings that are UTF-8.
func isName(s string) bool { return utf8.ValidString(s) }
