package rig2

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryPoll is the time between two looks at the memory of a process.
	memoryPoll = 20 * time.Millisecond
	// restartDelay is the time after which the platform starts a process that has ended.
	restartDelay = time.Second
	kbPerMB      = 1024
)

// LimitMemory kills the process of each machine whenever it uses more than the memory
// limit of its settings, and starts it again. It ends when stop is closed. The result
// counts the ends of each machine's processes.
func (f *Fleet) LimitMemory(stop <-chan struct{}) <-chan map[string]int {
	out := make(chan map[string]int, 1)
	go func() {
		ends := make(map[string]int)
		defer func() { out <- ends }()
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryPoll):
			}
			for _, e := range f.Edges {
				if mb := memoryMB(e.Running()); mb > f.MemoryMB {
					ends[e.Name]++
					f.Record.Add("platform: the process of %s uses %d MB, its limit is %d MB", e.Name, mb, f.MemoryMB)
					e.Signal(syscall.SIGKILL)
					time.AfterFunc(restartDelay, func() {
						if err := e.Start(); err != nil {
							f.Record.Add("platform: %v", err)
						}
					})
				}
			}
		}
	}()
	return out
}

// memoryMB returns the memory of a process that is its own: without its program file
// and what it shares with others.
func memoryMB(pid int) int {
	if pid == 0 {
		return 0
	}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kb / kbPerMB
		}
	}
	return 0
}
