package holder

import (
	"fmt"
	"net"
	"strconv"
)

// EndpointError reports an ErrorResponse to a statement of the holder's own.
type EndpointError struct {
	// Code is the SQLSTATE.
	Code string
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoint refused with SQLSTATE %s", e.Code)
}

// AddressError reports an endpoint address that is not host:port.
type AddressError struct{ Addr string }

func (e *AddressError) Error() string {
	return fmt.Sprintf("endpoint address %q is not of the form host:port", e.Addr)
}

// SequenceError reports a reply that does not follow from what was sent.
type SequenceError struct {
	// Reply is the type byte of the message received.
	Reply byte
}

func (e *SequenceError) Error() string {
	return fmt.Sprintf("endpoint sent message %q that answers nothing that was sent", e.Reply)
}

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

// WithheldError reports that the replies to be kept back until a commit is
// confirmed exceed the limit.
type WithheldError struct {
	// Limit is in bytes.
	Limit int
}

func (e *WithheldError) Error() string {
	return fmt.Sprintf("replies after a write exceed %d bytes before its commit is confirmed", e.Limit)
}
