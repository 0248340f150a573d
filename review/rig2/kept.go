package rig2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// KeptClient sends requests one after the other on a kept connection to a machine.
type KeptClient struct {
	Fleet                 *Fleet
	Edge                  *Edge
	Name, Path, Host, Key string
	// Pause is the time between an answer and the next request.
	Pause time.Duration

	mu sync.Mutex
	// cut are the attempts that were sent on a connection which had carried a request
	// before, and which then ended without an answer.
	cut []string
}

// Run sends requests until stop is closed.
func (c *KeptClient) Run(stop <-chan struct{}) {
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(c.Pause):
		}
		c.send(&client, fmt.Sprintf("%s-%d", c.Name, n))
	}
}

func (c *KeptClient) send(client *http.Client, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Edge.Front+c.Path, bytes.NewReader([]byte("q")))
	if err != nil {
		return
	}
	// Without GetBody the transport sends nothing a second time.
	req.Host, req.GetBody = c.Host, nil
	req.Header.Set("X-Api-Key", c.Key)
	req.Header.Set("X-Attempt-Id", attempt)
	req.Header.Set("X-Deadline-Ms", "2000")
	res, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
	if err != nil && ctx.Err() == nil && kept {
		c.Fleet.Record.Add("client: %s on a kept connection to %s: the connection ended without an answer: %v", attempt, c.Edge.Name, err)
		c.mu.Lock()
		c.cut = append(c.cut, attempt)
		c.mu.Unlock()
	}
}

// Cut returns the attempts that were cut on a kept connection.
func (c *KeptClient) Cut() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.cut...)
}
