package wireformat

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Peer is an HTTP server for tests of clients. It records each request and sends the given
// responses in order.
type Peer struct {
	server *httptest.Server

	mu        sync.Mutex
	responses []string // each is "STATUS BODY"
	record    strings.Builder
}

// NewPeer starts a server that is closed when the test ends.
func NewPeer(t testing.TB, responses ...string) *Peer {
	p := &Peer{responses: responses}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

// Address returns the host:port at which the server listens.
func (p *Peer) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// Notef appends a line to the record, for example the client's interpretation of a response.
func (p *Peer) Notef(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(&p.record, format+"\n", args...)
}

// Notes returns the requests and lines recorded so far.
func (p *Peer) Notes() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.String()
}

// ServeHTTP records a request and sends the next response. Without a response left it sends status
// 500.
func (p *Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	var parameters []string
	for name := range query {
		parameters = append(parameters, name+"="+query.Get(name))
	}
	slices.Sort(parameters)
	words := append([]string{r.Method, r.URL.Path}, parameters...)
	if len(body) > 0 {
		words = append(words, r.Header.Get("Content-Type"), string(body))
	}
	p.Notef("%s", strings.Join(words, " "))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.responses) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	var status int
	code, response, _ := strings.Cut(p.responses[0], " ")
	p.responses = p.responses[1:]
	if _, err := fmt.Sscan(code, &status); err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, response) // a client that disconnects early fails its own test
}
