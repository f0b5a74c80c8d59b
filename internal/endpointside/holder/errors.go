package holder

import (
	"fmt"
	"net"
	"strconv"
)

// EndpointError reports that an endpoint refused a statement that the holder
// sent on its own behalf.
type EndpointError struct {
	// Code is the SQLSTATE of the ErrorResponse.
	Code string
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoint refused a statement of the holder with SQLSTATE %s", e.Code)
}

// AddressError reports an endpoint address that is not host:port.
type AddressError struct{ Addr string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("endpoint address %q is not of the form host:port", e.Addr)
}

// SequenceError reports a message from an endpoint that does not answer any
// message sent.
type SequenceError struct {
	// Reply is the type byte of the received message.
	Reply byte
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("endpoint sent message of type %q without a pending request", e.Reply)
}

// splitHostPort splits an endpoint's address. The error is an *AddressError.
func splitHostPort(addr string) (string, uint16, error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, &AddressError{Addr: addr}
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return "", 0, &AddressError{Addr: addr}
	}
	return host, uint16(port), nil
}

// WithheldError reports that the replies that must be withheld until a commit is
// confirmed exceed the size limit.
type WithheldError struct {
	// Limit is in bytes.
	Limit int
}

func (e *WithheldError) Error() string {
	return fmt.Sprintf("replies withheld until the commit is confirmed exceed %d bytes", e.Limit)
}
