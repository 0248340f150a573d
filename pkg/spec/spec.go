package spec

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// KeyPrefix starts every caller's API key, so that secret scanners can find
// leaked ones.
const KeyPrefix = "ck-"

// Config is one version of the operators' configuration.
type Config struct {
	Workspaces []Workspace `yaml:"Workspaces,omitempty"`
	Keys       []Key       `yaml:"Keys,omitempty"`
	Routes     []Route     `yaml:"Routes,omitempty"`
	Pools      []Pool      `yaml:"Pools,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Name unit.Workspace `yaml:"Name"`
	// Weight is the workspace's share of capacity under load, relative to the
	// other workspaces; 0 counts as 1.
	Weight int `yaml:"Weight,omitempty"`
}

// Key authorizes a caller to act for a workspace.
type Key struct {
	ID        unit.KeyID     `yaml:"Id"`
	Workspace unit.Workspace `yaml:"Workspace"`
	// Hash is the SHA-256 of the API key, in hexadecimal.
	Hash string `yaml:"Hash"`
}

// Kind is the protocol of a pool's targets.
type Kind string

// The kinds of pools.
const (
	// Model targets are inference engines that generate tokens.
	Model Kind = "Model"
	// Plain targets are HTTP services that answer a call with one response.
	Plain Kind = "Plain"
)

// Route maps the name that callers use to a pool.
type Route struct {
	Name unit.Route `yaml:"Name"`
	Pool unit.Pool  `yaml:"Pool"`
	// Open routes accept callers without a key.
	Open bool `yaml:"Open,omitempty"`
	// Workspaces lists those that may use the route; empty means all.
	Workspaces []unit.Workspace `yaml:"Workspaces,omitempty"`
	// Idempotent allows a retry when the outcome of the first attempt is
	// unknown. Routes to Model pools are always idempotent.
	Idempotent bool `yaml:"Idempotent,omitempty"`
	// DeadlineMillis bounds the total time of a live request; 0 means 60,000.
	DeadlineMillis int64 `yaml:"DeadlineMillis,omitempty"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name unit.Pool `yaml:"Name"`
	Kind Kind      `yaml:"Kind"`
	// Targets lists targets that are already running and are not in the
	// platform's list.
	Targets []Target `yaml:"Targets,omitempty"`
	// Counts gives the number of targets wanted in each data centre. catkinhead
	// starts and stops them through the platform.
	Counts []Count `yaml:"Counts,omitempty"`
}

// Target is a running target that is not in the platform's list of targets.
type Target struct {
	Name       unit.Target     `yaml:"Name"`
	Address    string          `yaml:"Address"`
	DataCentre unit.DataCentre `yaml:"DataCentre"`
}

// Count is the number of targets wanted in one data centre.
type Count struct {
	DataCentre unit.DataCentre `yaml:"DataCentre"`
	Targets    int             `yaml:"Targets"`
}

// NewKey generates a random API key.
func NewKey() (string, error) {
	var b [20]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("read random bytes: %w", err)
	}
	return KeyPrefix + strings.ToLower(base32.StdEncoding.EncodeToString(b[:])), nil
}

// HashKey returns the SHA-256 of an API key in lower-case hexadecimal, under
// which the key is stored and looked up.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index looks up the objects of a Config by name. It is built once for each
// Config that takes effect.
type Index struct {
	Workspaces map[unit.Workspace]Workspace
	// Keys is indexed by the key's hash, in lower case.
	Keys   map[string]Key
	Routes map[unit.Route]Route
	Pools  map[unit.Pool]Pool
}

// NewIndex builds the index of c.
func NewIndex(c Config) *Index {
	x := &Index{
		Workspaces: make(map[unit.Workspace]Workspace),
		Keys:       make(map[string]Key),
		Routes:     make(map[unit.Route]Route),
		Pools:      make(map[unit.Pool]Pool),
	}
	for _, w := range c.Workspaces {
		x.Workspaces[w.Name] = w
	}
	for _, k := range c.Keys {
		x.Keys[strings.ToLower(k.Hash)] = k
	}
	for _, r := range c.Routes {
		x.Routes[r.Name] = r
	}
	for _, p := range c.Pools {
		x.Pools[p.Name] = p
	}
	return x
}

// Allows tells whether callers of a workspace may use the route.
func (r Route) Allows(w unit.Workspace) bool {
	if len(r.Workspaces) == 0 {
		return true
	}
	for _, x := range r.Workspaces {
		if x == w {
			return true
		}
	}
	return false
}
