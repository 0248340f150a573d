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

// KeyPrefix starts every caller's key, so that a leaked one can be found.
const KeyPrefix = "ck-"

// Config is one version of the operators' objects.
type Config struct {
	Workspaces []Workspace `yaml:"Workspaces,omitempty"`
	Keys       []Key       `yaml:"Keys,omitempty"`
	Routes     []Route     `yaml:"Routes,omitempty"`
	Pools      []Pool      `yaml:"Pools,omitempty"`
}

// Workspace is a tenant.
type Workspace struct {
	Name unit.Workspace `yaml:"Name"`
	// Weight is the share under load; 0 counts as 1.
	Weight int `yaml:"Weight,omitempty"`
}

// Key lets a caller act for a workspace.
type Key struct {
	ID        unit.KeyID     `yaml:"Id"`
	Workspace unit.Workspace `yaml:"Workspace"`
	// Hash is the SHA-256 of the key, in hexadecimal.
	Hash string `yaml:"Hash"`
}

// Kind is what a pool's targets speak.
type Kind string

// The kinds of pools.
const (
	Model Kind = "Model"
	Plain Kind = "Plain"
)

// Route leads callers to a pool.
type Route struct {
	Name unit.Route `yaml:"Name"`
	Pool unit.Pool  `yaml:"Pool"`
	// Open lets callers without a key in.
	Open bool `yaml:"Open,omitempty"`
	// Workspaces that may use the route; empty means all.
	Workspaces []unit.Workspace `yaml:"Workspaces,omitempty"`
	// Idempotent allows a second run after an unknown outcome. Routes to
	// Model pools are idempotent always.
	Idempotent bool `yaml:"Idempotent,omitempty"`
	// DeadlineMillis bounds a live request's time; 0 means 60,000.
	DeadlineMillis int64 `yaml:"DeadlineMillis,omitempty"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	Name unit.Pool `yaml:"Name"`
	Kind Kind      `yaml:"Kind"`
	// Targets that run already.
	Targets []Target `yaml:"Targets,omitempty"`
	// Counts of targets that the system orders by itself.
	Counts []Count `yaml:"Counts,omitempty"`
}

// Target is a target that the platform's list does not name.
type Target struct {
	Name       unit.Target     `yaml:"Name"`
	Address    string          `yaml:"Address"`
	DataCentre unit.DataCentre `yaml:"DataCentre"`
}

// Count is how many targets are wanted in a data centre.
type Count struct {
	DataCentre unit.DataCentre `yaml:"DataCentre"`
	Targets    int             `yaml:"Targets"`
}

// NewKey makes a key from the system's random source.
func NewKey() (string, error) {
	var b [20]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", fmt.Errorf("read random bytes: %w", err)
	}
	return KeyPrefix + strings.ToLower(base32.StdEncoding.EncodeToString(b[:])), nil
}

// HashKey returns the form in which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Index finds objects by name. It is made once for each Config in force.
type Index struct {
	Workspaces map[unit.Workspace]Workspace
	// Keys is by hash.
	Keys   map[string]Key
	Routes map[unit.Route]Route
	Pools  map[unit.Pool]Pool
}

// NewIndex indexes c.
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

// Allows tells whether a workspace may use the route.
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
