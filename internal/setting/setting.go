// Package setting reads the settings of a process from flags and environment
// variables and checks all of them before anything starts.
//
// The flag --store-timeout corresponds to the variable
// CATKINHEAD_STORE_TIMEOUT; the flag takes precedence. Secrets are read from
// variables only, and no message contains one.
package setting

import (
	"fmt"
	"maps"
	"net"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/admit"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// Settings are those of "catkinhead serve".
type Settings struct {
	// Instance is the unique name of this process.
	Instance unit.Instance `env:"INSTANCE"`
	// DataCentre is the one that this process runs in.
	DataCentre unit.DataCentre `env:"DATA_CENTRE"`
	// Listen is the host:port for callers, operators and peers.
	Listen string `env:"LISTEN" envDefault:"127.0.0.1:8080"`
	// Advertise is the host:port that peers use; empty means Listen.
	Advertise string `env:"ADVERTISE"`
	// Platform is the URL of the platform, which provides the store and the
	// lists of instances and targets, and accepts orders and usage reports.
	Platform string `env:"PLATFORM"`
	// FleetSecret is shared by all instances and authenticates the calls
	// between them.
	FleetSecret string `env:"FLEET_SECRET"`
	// OperatorKeyHash is the SHA-256 of the operators' key, in hexadecimal.
	OperatorKeyHash string `env:"OPERATOR_KEY_HASH"`
	// Window is the length of the time windows in which usage is counted.
	Window time.Duration `env:"WINDOW" envDefault:"60s"`
	// StoreTimeout bounds a call to the platform.
	StoreTimeout time.Duration `env:"STORE_TIMEOUT" envDefault:"1s"`
	// DrainLag is how long a stopping process still accepts new requests, since
	// the load balancer notices late that it is not ready.
	DrainLag time.Duration `env:"DRAIN_LAG" envDefault:"3s"`
	// DrainDeadline is the time limit of a graceful shutdown.
	DrainDeadline time.Duration `env:"DRAIN_DEADLINE" envDefault:"60s"`
	// Data is a directory for a copy of the newest configuration, withdrawn keys
	// and active weight versions, which is loaded at the next start; empty means
	// that none is written.
	Data string `env:"DATA"`
	// Record is the file to record a trace of events in; empty means that none
	// is recorded.
	Record string `env:"RECORD"`
	// Policy is the name of the admission policy in admit.Policies: "fair" for
	// production, or a baseline to compare it with.
	Policy string `env:"POLICY" envDefault:"fair"`
	// MemoryMB is the memory of the process in megabytes, of which connections, heads and
	// bodies of requests may each take a part. 0 means that they are not bounded.
	MemoryMB int64 `env:"MEMORY_MB" envDefault:"2048"`
	// Descriptors is how many descriptors the process may have open, of which clients'
	// connections may take a part. 0 means the limit of the system.
	Descriptors int `env:"DESCRIPTORS"`
	// LogLevel is debug, info, warning or error.
	LogLevel string `env:"LOG_LEVEL" envDefault:"info"`
	// OrderPause delays each order between its decision and its sending. Tests
	// use it to let a lease expire in between.
	OrderPause time.Duration `env:"ORDER_PAUSE"`
}

// Prefix is the start of the name of every environment variable.
const Prefix = "CATKINHEAD_"

const (
	// minMemoryMB and minDescriptors are the least that a process needs.
	minMemoryMB    = 64
	minDescriptors = 64
)

// Faults lists the invalid settings, one message each.
type Faults []string

// Error returns one line per fault.
func (f Faults) Error() string { return strings.Join(f, "\n") }

// Default returns the settings without flags and variables.
func Default() Settings {
	var s Settings
	if err := env.ParseWithOptions(&s, env.Options{Environment: map[string]string{}}); err != nil {
		panic("defaults of settings: " + err.Error())
	}
	return s
}

// FromEnvironment reads the settings from the environment variables of the
// process.
func FromEnvironment() (Settings, error) {
	var s Settings
	err := env.ParseWithOptions(&s, env.Options{Prefix: Prefix, Environment: env.ToMap(os.Environ())})
	if err != nil {
		return s, fmt.Errorf("read environment: %w", err)
	}
	return s, nil
}

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)
)

// Check returns Faults with all invalid settings, or nil if there is none.
func (s *Settings) Check() error {
	var f Faults
	add := func(name, value, allowed string) {
		f = append(f, fmt.Sprintf("--%s (%s%s) is %q; %s", name, Prefix, variableName(name), value, allowed))
	}
	const nameRule = "use 1 to 63 of a-z 0-9 . -, starting with a letter or digit"
	if !namePattern.MatchString(string(s.Instance)) {
		add("instance", string(s.Instance), nameRule)
	}
	if !namePattern.MatchString(string(s.DataCentre)) {
		add("data-centre", string(s.DataCentre), nameRule)
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		add("listen", s.Listen, "host:port is required")
	}
	if _, _, err := net.SplitHostPort(s.Advertise); s.Advertise != "" && err != nil {
		add("advertise", s.Advertise, "host:port or nothing is allowed")
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		add("platform", s.Platform, "an http or https URL is required")
	}
	if len(s.FleetSecret) < 16 {
		f = append(f, Prefix+"FLEET_SECRET has "+fmt.Sprint(len(s.FleetSecret))+" characters; 16 or more are required")
	}
	if !hashPattern.MatchString(s.OperatorKeyHash) {
		f = append(f, Prefix+"OPERATOR_KEY_HASH is not a SHA-256 hash; 64 hexadecimal digits are required (see: catkinhead key hash)")
	}
	durations := map[string]struct{ v, low, high time.Duration }{
		"window":         {s.Window, time.Second, 24 * time.Hour},
		"store-timeout":  {s.StoreTimeout, 50 * time.Millisecond, 5 * time.Second},
		"drain-lag":      {s.DrainLag, 0, 5 * time.Minute},
		"drain-deadline": {s.DrainDeadline, time.Second, time.Hour},
		"order-pause":    {s.OrderPause, 0, time.Minute},
	}
	for _, name := range []string{"window", "store-timeout", "drain-lag", "drain-deadline", "order-pause"} {
		if d := durations[name]; d.v < d.low || d.v > d.high {
			add(name, d.v.String(), fmt.Sprintf("%v to %v is allowed", d.low, d.high))
		}
	}
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB {
		add("memory-mb", fmt.Sprint(s.MemoryMB), fmt.Sprintf("0 or %d and more is allowed", minMemoryMB))
	}
	if s.Descriptors != 0 && s.Descriptors < minDescriptors {
		add("descriptors", fmt.Sprint(s.Descriptors), fmt.Sprintf("0 or %d and more is allowed", minDescriptors))
	}
	if _, ok := admit.Policies[s.Policy]; !ok {
		add("policy", s.Policy, "one of "+strings.Join(slices.Sorted(maps.Keys(admit.Policies)), ", ")+" is allowed")
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		add("log-level", s.LogLevel, "debug, info, warning or error is allowed")
	}
	if len(f) > 0 {
		return f
	}
	return nil
}

// variableName returns the environment variable of a flag, without Prefix.
func variableName(flag string) string {
	return strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}
