// Package confspread carries the configuration from control over one relay per
// failure domain to the daemons, by long polls. The decisions are those of
// package spreadstate; here are the listeners, clients, disk and clock.
package confspread

import (
	"fmt"
	"io"
	"net/http"

	"hemlockmast/api/confspread"
	"hemlockmast/internal/configuration/spreadstate"
)

// Bounds of messages.
const (
	maxPollRequestBytes    = 4 << 10
	maxControlRequestBytes = 32 << 20
	maxResponseBytes       = 64 << 20
	maxNameBytes           = 63
)

// Peers gives the clients of other processes. addr is host:port.
type Peers interface {
	Spread(addr string) confspread.Spread
	Control(addr string) confspread.Control
}

// Members gives the daemons that membership knows, this one included.
type Members interface {
	Members() []spreadstate.Member
}

// StaticMembers are members from settings.
type StaticMembers []spreadstate.Member

// Members returns the list itself.
func (m StaticMembers) Members() []spreadstate.Member { return m }

// httpPeers are clients over HTTP.
type httpPeers struct {
	client *http.Client
	scheme string
}

// NewHTTPPeers returns clients that use transport. secure selects https.
func NewHTTPPeers(transport http.RoundTripper, secure bool) Peers {
	scheme := "http://"
	if secure {
		scheme = "https://"
	}
	return &httpPeers{
		client: &http.Client{Transport: &boundedTransport{next: transport}},
		scheme: scheme,
	}
}

func (p *httpPeers) Spread(addr string) confspread.Spread {
	return confspread.NewSpreadProtobufClient(p.scheme+addr, p.client)
}

func (p *httpPeers) Control(addr string) confspread.Control {
	return confspread.NewControlProtobufClient(p.scheme+addr, p.client)
}

// boundedTransport refuses answers above maxResponseBytes.
type boundedTransport struct {
	next http.RoundTripper
}

func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, left: maxResponseBytes}
	return response, nil
}

// ResponseTooLargeError reports an answer above the bound.
type ResponseTooLargeError struct{ Limit int64 }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer has more than %d bytes", e.Limit)
}

type boundedBody struct {
	io.ReadCloser
	left int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, &ResponseTooLargeError{Limit: maxResponseBytes}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// bounded refuses requests above limit.
func bounded(handler http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		handler.ServeHTTP(w, r)
	})
}

// checkMember refuses a poll or report without a usable name.
func checkMember(name, domain string) error {
	for _, text := range []string{name, domain} {
		if text == "" || len(text) > maxNameBytes {
			return &NameError{Name: text[:min(len(text), maxNameBytes)]}
		}
	}
	return nil
}

// NameError reports a daemon or failure domain without a usable name.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("name %q has not 1 to %d bytes", e.Name, maxNameBytes)
}
