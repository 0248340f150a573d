package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// TestStrangersBodiesAreNotAwaited guards against callers without a route or a key who make
// an instance wait for long bodies and keep them. They get the same answer as with a body.
func TestStrangersBodiesAreNotAwaited(t *testing.T) {
	tests := map[string]struct {
		path, key, length string
		want              int
	}{
		"no route":          {"/none/", "k", "Content-Length: 1000000", 404},
		"no key":            {"/page/x", "", "Content-Length: 1000000", 401},
		"wrong key":         {"/page/x", "other", "Content-Length: 1000000", 401},
		"no route, chunked": {"/none/", "k", "Transfer-Encoding: chunked", 404},
		"no key, chunked":   {"/page/x", "", "Transfer-Encoding: chunked", 401},
	}
	p, srv := cutProcess(t, "127.0.0.1:9")
	p.apply(op.ConfigurationChanged{Revision: 2, Configuration: platform.Configuration{
		Version: 2, Keyed: true, Keys: map[string]unit.Workspace{"k": "w"},
		Routes: []platform.RouteRule{{Name: "page", Host: "h.example", PathPrefix: "/page/", Repeat: platform.Idempotent, MaxAttempts: 1, Timeout: 5000}},
	}})
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(srv.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
				t.Fatal(err)
			}
			// The server answers when it has read some of the body that it does not want.
			go func() {
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: %s\r\nX-Attempt-Id: a1\r\n%s\r\n\r\n", tt.path, tt.key, tt.length)
				if strings.Contains(tt.length, "chunked") {
					fmt.Fprintf(conn, "50000\r\n%s", strings.Repeat("x", 300<<10))
				}
			}()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			res.Body.Close()
			if res.StatusCode != tt.want {
				t.Errorf("got %d, want %d", res.StatusCode, tt.want)
			}
		})
	}
}
