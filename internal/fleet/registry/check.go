package registry

import (
	"fmt"
	"unicode"

	fleetpb "hemlockmast/api/fleet"
)

// InvalidError reports an announcement that names no endpoint to use. Field is the name of
// the field in fleetpb.Endpoint.
type InvalidError struct{ Field string }

func (e *InvalidError) Error() string { return fmt.Sprintf("announcement has an invalid %s", e.Field) }

// Check validates an announcement; its failure domain may be empty. Errors: *InvalidError for the first invalid field.
func Check(e *fleetpb.Endpoint) error {
	switch {
	case !isName(e.Id):
		return &InvalidError{Field: "id"}
	case !isName(e.Service):
		return &InvalidError{Field: "service"}
	case e.FailureDomain != "" && !isName(e.FailureDomain):
		return &InvalidError{Field: "failure_domain"}
	}
	return nil
}

// isName reports whether s can be one field of a line that is sent to an endpoint, and part of
// a message between daemons: protobuf encodes only strings that are UTF-8.
func isName(s string) bool {
	for _, r := range s {
		// Bytes that are not UTF-8 decode to ReplacementChar.
		if r == unicode.ReplacementChar || unicode.IsSpace(r) || !unicode.IsGraphic(r) {
			return false
		}
	}
	return s != ""
}
