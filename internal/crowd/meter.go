package crowd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// measureInterval is the time between two measurements.
	measureInterval = 20 * time.Millisecond
	// farAbove is how many times its limit of memory a process may take before a crowd
	// ends early, so that it does not take the memory of the whole machine.
	farAbove = 3
)

// Usage is what a process holds.
type Usage struct {
	// Resident is its resident memory, Unread what arrived at its listeners and was not
	// read, both in bytes. Descriptors are its open ones.
	Resident, Unread int64
	Descriptors      int
}

// Memory is what counts as the memory of a process, in bytes.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// Meter measures a process.
type Meter struct {
	PID int
	// Listeners are the host:port of the process's listeners.
	Listeners []string
	// Limits are those of its machine.
	Limits Limits
}

// Peak measures until ctx ends or the process takes far more memory than its limit, and
// returns the usage with the most memory, and the most descriptors at any time. The error
// means that the process has ended.
func (m Meter) Peak(ctx context.Context) (Usage, error) {
	var peak Usage
	for ctx.Err() == nil {
		u, err := m.Measure()
		if err != nil {
			return peak, err
		}
		descriptors := max(peak.Descriptors, u.Descriptors)
		if u.Memory() > peak.Memory() {
			peak = u
		}
		peak.Descriptors = descriptors
		if peak.Memory() > farAbove*m.Limits.Memory {
			break
		}
		sleep(ctx, measureInterval)
	}
	return peak, nil
}

// Measure returns what the process holds now.
func (m Meter) Measure() (Usage, error) {
	var u Usage
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.PID))
	if err != nil {
		return u, fmt.Errorf("read memory of process: %w", err)
	}
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return u, fmt.Errorf("process %d has ended", m.PID)
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return u, fmt.Errorf("read memory of process: %w", err)
	}
	u.Resident = pages * int64(os.Getpagesize())
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", m.PID))
	if err != nil {
		return u, fmt.Errorf("read descriptors of process: %w", err)
	}
	u.Descriptors = len(open)
	u.Unread, err = m.unread()
	return u, err
}

// unread returns how many bytes have arrived at the listeners and are not read.
func (m Meter) unread() (int64, error) {
	own := make(map[string]bool)
	for _, l := range m.Listeners {
		if name, ok := kernelName(l); ok {
			own[name] = true
		}
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, fmt.Errorf("read connections: %w", err)
	}
	total := int64(0)
	for lines := bufio.NewScanner(bytes.NewReader(table)); lines.Scan(); {
		// Fields: number, local, remote, state, queues of bytes to send and to read.
		f := strings.Fields(lines.Text())
		if len(f) < 5 || !own[f[1]] || f[3] == listening {
			continue
		}
		_, waiting, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(waiting, 16, 64)
		if err != nil {
			return 0, fmt.Errorf("read connections: %w", err)
		}
		total += n
	}
	return total, nil
}

// listening is the kernel's code of a socket that listens.
const listening = "0A"

// kernelName returns an IPv4 host:port as the kernel's table of connections writes it.
func kernelName(address string) (string, bool) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", false
	}
	ip := net.ParseIP(host).To4()
	n, err := strconv.Atoi(port)
	if ip == nil || err != nil {
		return "", false
	}
	// The table has addresses in the byte order of the machine, which is little-endian on
	// all machines that the project runs on.
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n), true
}

// Limits are those of the machine that a process runs on.
type Limits struct {
	// Memory is in bytes. Descriptors are those for connections.
	Memory      int64
	Descriptors int
}

// Check returns an error that names each limit that u is above.
func (l Limits) Check(u Usage) error {
	var errs []error
	if u.Memory() > l.Memory {
		errs = append(errs, fmt.Errorf("%w: %d MB resident and %d MB unread, of %d MB", ErrAboveLimit, u.Resident>>20, u.Unread>>20, l.Memory>>20))
	}
	if u.Descriptors > l.Descriptors {
		errs = append(errs, fmt.Errorf("%w: %d descriptors of %d", ErrAboveLimit, u.Descriptors, l.Descriptors))
	}
	return errors.Join(errs...)
}

// ErrAboveLimit means that a process holds more than its machine has.
var ErrAboveLimit = errors.New("process is above its limit")

// Play plays crowds at the same time, for some time, and returns what the process held at
// most. The error means that it was above its limits or has ended, or that a crowd may not
// be played.
func (m Meter) Play(ctx context.Context, lasts time.Duration, crowds ...Crowd) (Usage, error) {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	ended := make(chan error, len(crowds))
	for _, c := range crowds {
		go func() { ended <- c.Run(ctx) }()
	}
	peak, err := m.Peak(ctx)
	cancel()
	errs := []error{err, m.Limits.Check(peak)}
	for range crowds {
		errs = append(errs, <-ended)
	}
	return peak, errors.Join(errs...)
}
