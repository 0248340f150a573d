package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/catkinhead/catkinhead/platform/standin"
)

// worker is a stand-in of a model worker or of a plain service. It serves one request at a
// time on each connection.
type worker struct {
	id, service, address string
	slots                int
	ln                   net.Listener
	// run serves a request that begins to run. What it returns is written to the
	// connection; a nil answer closes the connection.
	run func(w *worker, c net.Conn, in *http.Request)
	mu  sync.Mutex
	// seq counts the accepted orders.
	seq  int
	born int64
	// down is set once a case has ended the worker.
	down bool
}

// startWorker starts a worker. Its entry is not written.
func startWorker(id, service string, slots int, run func(*worker, net.Conn, *http.Request)) (*worker, error) {
	w, err := listenWorker(id, service, slots, run)
	if err != nil {
		return nil, err
	}
	go w.accept()
	return w, nil
}

// listenWorker is startWorker for a case that accepts the connections itself.
func listenWorker(id, service string, slots int, run func(*worker, net.Conn, *http.Request)) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return &worker{id: id, service: service, address: ln.Addr().String(), slots: slots, ln: ln, run: run, born: time.Now().UnixMilli()}, nil
}

// register writes the worker's entry to the store.
func (w *worker) register(s *standin.Store, state string) {
	s.Set("servers", w.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"north","version":"1.0","slots":%d,"state":%q,"cold_remaining_ms":0,"seq":1,"born":%d,"phase":"both","models":[{"name":%q,"version":1,"adapters":[]}]}`,
		w.service, w.address, w.slots, state, w.born, model))
}

func (w *worker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// serve serves the requests of a connection.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		in, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, in.Body); err != nil {
			return
		}
		if !w.answer(c, in) {
			return
		}
	}
}

// answer answers one request, and reports whether the connection goes on.
func (w *worker) answer(c net.Conn, in *http.Request) bool {
	expected := in.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != w.id:
		return reply(c, in, http.StatusMisdirectedRequest, "", "", "X-Instance-Id: "+w.id)
	case in.URL.Path == "/healthz":
		return reply(c, in, http.StatusOK, "", "", "X-Instance-Id: "+w.id)
	case in.URL.Path == "/report":
		w.mu.Lock()
		body := fmt.Sprintf(`{"phase":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":%d,"queued":0,"active":0,"kv_used":0,"kv_total":50000,"handles":0,"born":%d}`, model, w.seq, w.born)
		w.mu.Unlock()
		return reply(c, in, http.StatusOK, "application/json", body)
	}
	w.run(w, c, in)
	return true
}

// reply writes an answer with a length.
func reply(c net.Conn, in *http.Request, status int, contentType, body string, fields ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id := in.Header.Get("X-Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "X-Attempt-Id: %s\r\n", id)
	}
	if contentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", contentType)
	}
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// stamp returns the signature of a run.
func (w *worker) stamp(in *http.Request) string {
	return "X-Server-Stamp: " + w.id + "." + in.Header.Get("X-Attempt-Id") + "." + strconv.FormatInt(time.Now().UnixNano(), 36)
}

// events is the number of events of an item's whole output.
const events = 20

// outputOf returns the whole text of an item.
func outputOf(item string) string {
	var lines []string
	for n := range events {
		lines = append(lines, fmt.Sprintf("%s-%d", item, n))
	}
	return strings.Join(lines, "\n")
}

// stream writes the events of an item from the one after Last-Event-Id on. It ends early
// if the connection is closed.
func (w *worker) stream(c net.Conn, in *http.Request, interval time.Duration) bool {
	return w.streamEvents(c, in, events, interval)
}

// streamEvents is stream for an item of some number of events.
func (w *worker) streamEvents(c net.Conn, in *http.Request, count int, interval time.Duration) bool {
	from := 0
	if last, err := strconv.Atoi(in.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	id := in.Header.Get("X-Attempt-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Weight-Versions: 1\r\n%s\r\n\r\n", id, w.stamp(in))
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for n := from; n < count; n++ {
		time.Sleep(interval)
		ev := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// partOfOutput returns an answer with the first events of an item, which looks whole.
func (w *worker) partOfOutput(in *http.Request) string {
	id := in.Header.Get("X-Attempt-Id")
	var body strings.Builder
	for n := range partEvents {
		fmt.Fprintf(&body, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Weight-Versions: 1\r\n%s\r\n\r\n%s", body.Len(), id, w.stamp(in), body.String())
}
