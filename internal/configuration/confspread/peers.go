// Package confspread distributes the configuration from control to the daemons
// by long polling. One relay per failure domain polls control, and the other
// daemons of the domain poll the relay. Package spreadstate holds the decision
// logic; this package adds servers, clients, storage and the clock.
package confspread

import (
	"fmt"
	"io"
	"net/http"

	"hemlockmast/api/confspread"
	"hemlockmast/internal/configuration/spreadstate"
)

// Limits on messages and on the names in them, in bytes.
const (
	maxPollRequestBytes    = 4 << 10
	maxControlRequestBytes = 32 << 20
	maxResponseBytes       = 64 << 20
	maxNameBytes           = 63
)

// Peers returns clients for other processes. addr is host:port.
type Peers interface {
	Spread(addr string) confspread.Spread
	Control(addr string) confspread.Control
}

// Members lists the daemons that membership knows, this one included.
type Members interface {
	Members() []spreadstate.Member
}

// StaticMembers is a fixed list of members.
type StaticMembers []spreadstate.Member

// Members returns m.
func (m StaticMembers) Members() []spreadstate.Member { return m }

// httpPeers creates clients over HTTP or HTTPS.
type httpPeers struct {
	client *http.Client
	scheme string
}

// NewHTTPPeers returns peers whose clients use transport. secure selects HTTPS.
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

// boundedTransport limits response bodies to maxResponseBytes.
type boundedTransport struct {
	next http.RoundTripper
}

func (t *boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, remaining: maxResponseBytes}
	return response, nil
}

// ResponseTooLargeError reports a response body of more than Limit bytes.
type ResponseTooLargeError struct{ Limit int64 }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer has more than %d bytes", e.Limit)
}

type boundedBody struct {
	io.ReadCloser
	remaining int64
}

func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, &ResponseTooLargeError{Limit: maxResponseBytes}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// limitRequestBody limits request bodies to limit bytes.
func limitRequestBody(handler http.Handler, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limit)
		handler.ServeHTTP(w, r)
	})
}

// checkMemberName returns *NameError unless the names of a daemon and of its
// failure domain have 1 to maxNameBytes bytes.
func checkMemberName(name, domain string) error {
	for _, text := range []string{name, domain} {
		if text == "" || len(text) > maxNameBytes {
			return &NameError{Name: text[:min(len(text), maxNameBytes)]}
		}
	}
	return nil
}

// NameError reports a name of a daemon or failure domain that is empty or too
// long. Name is cut to maxNameBytes.
type NameError struct{ Name string }

func (e *NameError) Error() string {
	return fmt.Sprintf("name %q has not 1 to %d bytes", e.Name, maxNameBytes)
}
