package ticket

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

func newRegistry(c clock.Clock) *Registry {
	return &Registry{Self: "i1#1", Secret: []byte("secret"), Clock: c}
}

// A ticket's request runs once, unless its outcome is NotRun.
func TestUse(t *testing.T) {
	tests := map[string]struct {
		first unit.Outcome
		runs  int
	}{
		"ran":     {unit.Ran, 1},
		"unknown": {unit.Unknown, 1},
		"not run": {unit.NotRun, 3},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			g := newRegistry(&clock.Manual{})
			tk, err := g.Issue("w")
			if err != nil {
				t.Fatal(err)
			}
			runs := 0
			for range 3 {
				r, err := g.Use(context.Background(), tk, func() Result {
					runs++
					return Result{Outcome: tc.first}
				})
				if err != nil || r.Outcome != tc.first {
					t.Fatalf("result %v, error %v", r, err)
				}
			}
			if runs != tc.runs {
				t.Fatalf("ran %d times, want %d", runs, tc.runs)
			}
		})
	}
}

// A second call during the first run waits and returns the same result.
func TestSecondCallWaitsForFirst(t *testing.T) {
	g := newRegistry(&clock.Manual{})
	tk, _ := g.Issue("w")
	started, resume, second := make(chan bool), make(chan bool), make(chan Result)
	go func() {
		_, _ = g.Use(context.Background(), tk, func() Result {
			close(started)
			<-resume
			return Result{Status: 7, Outcome: unit.Ran}
		})
	}()
	<-started
	go func() {
		r, _ := g.Use(context.Background(), tk, func() Result {
			t.Error("the request ran twice")
			return Result{}
		})
		second <- r
	}()
	close(resume)
	if r := <-second; r.Status != 7 {
		t.Fatalf("second call returned %+v, want the result of the first", r)
	}
}

// An expired ticket does not run its request.
func TestExpiredTicketIsRejected(t *testing.T) {
	c := &clock.Manual{}
	g := newRegistry(c)
	tk, _ := g.Issue("w")
	c.Advance(ticketTTL)
	_, err := g.Use(context.Background(), tk, func() Result { return Result{} })
	if !errors.Is(err, ErrUnknown) {
		t.Fatalf("error %v, want ErrUnknown", err)
	}
}

// FuzzIssuer checks that an accepted text is the issued ticket or at least
// begins with its incarnation, and that Issuer returns that incarnation.
func FuzzIssuer(f *testing.F) {
	g := newRegistry(&clock.Manual{})
	good, _ := g.Issue("w")
	f.Add(good)
	f.Add("i1#1~1~")
	f.Fuzz(func(t *testing.T, text string) {
		i, err := g.Issuer(text, "w")
		if err == nil && (text != good && !strings.HasPrefix(text, "i1#1~") || i != "i1#1") {
			t.Fatalf("accepted %q as a ticket of %q", text, i)
		}
	})
}
