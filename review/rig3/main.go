// Command rig3 plays the cases of the third review: it starts the edge program with
// stand-ins of the platform, of workers and of clients on loopback addresses, and checks
// one rule in each case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by the name of their folder. Each returns whether the rule held.
var cases = map[string]func(*rig) (bool, error){
	"copy":   playCopy,
	"cut":    playCut,
	"drop":   playDrop,
	"poison": playPoison,
}

// main plays the case that the first argument names. The second one is its folder, to
// which it writes record.txt. Without TROUBLE=0 in the environment the disruption is played.
func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return notRun
	}
	r, err := newRig(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		r.record("not run: stopped by a signal")
		r.close()
		os.Exit(notRun)
	}()
	ok, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.record("not run: %v", err)
		return notRun
	case ok:
		r.record("the rule held")
		return held
	}
	r.record("the rule was broken")
	return broken
}
