package rig2

import (
	"fmt"
	"os"
)

// The results of a case, as exit codes.
const (
	held    = 0
	broken  = 1
	notRuns = 2
)

// Main runs a case. The first argument is the case's folder, the second the program of
// the deploy file. Without the disruption, TROUBLE is 0.
func Main(run func(f *Fleet, trouble bool) (held bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(f *Fleet, trouble bool) (bool, error)) int {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: CASE FOLDER PROGRAM")
		return notRuns
	}
	record, err := NewRecord(os.Args[1] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRuns
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRuns
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", dir)
	}
	f, err := NewFleet(record, dir, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRuns
	}
	defer f.Close()
	ok, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Add("result: the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRuns
	case ok:
		record.Add("result: the rule held")
		return held
	}
	record.Add("result: the rule was broken")
	return broken
}
