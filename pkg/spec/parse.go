package spec

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/catkinhead/catkinhead/pkg/unit"
)

// MaxDocument bounds a document, in bytes: the store holds a megabyte.
const MaxDocument = 1 << 20

// Fault is one thing wrong with a document.
type Fault struct {
	// Line in the document, from 1; 0 when unknown.
	Line int
	// Field is the path, such as "Keys[0].Hash".
	Field string
	// Wrong says what stands there and what is allowed.
	Wrong string
}

// Faults are all things wrong with a document.
type Faults []Fault

// Error lists the faults, a line each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = fmt.Sprintf("line %d: %s: %s", x.Line, x.Field, x.Wrong)
	}
	return strings.Join(lines, "\n")
}

// Parse reads a document. Any error is of type Faults.
func Parse(doc []byte) (Config, error) {
	var c Config
	if len(doc) > MaxDocument {
		return c, Faults{{Field: "document", Wrong: fmt.Sprintf("%d bytes; at most %d are allowed", len(doc), MaxDocument)}}
	}
	if err := decode(doc, &c); err != nil {
		return Config{}, Faults{syntaxFault(err)}
	}
	ck := checker{}
	if file, err := parser.ParseBytes(doc, 0); err == nil {
		ck.file = file
	}
	ck.config(c)
	if len(ck.faults) > 0 {
		return Config{}, ck.faults
	}
	return c, nil
}

// errUnreadable stands for a document on which the YAML library panics, such
// as one with a tag that has no value.
var errUnreadable = errors.New("is no YAML that can be read; look for a tag, anchor or sign without a value")

// decode reads a document. An empty one is an empty configuration.
func decode(doc []byte, c *Config) (err error) {
	defer func() {
		if recover() != nil {
			err = errUnreadable
		}
	}()
	err = yaml.NewDecoder(bytes.NewReader(doc), yaml.Strict()).Decode(c)
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Format writes a Config as a document.
func Format(c Config) ([]byte, error) {
	b, err := yaml.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("format configuration: %w", err)
	}
	return b, nil
}

func syntaxFault(err error) Fault {
	f := Fault{Field: "document", Wrong: yaml.FormatError(err, false, false)}
	var ye yaml.Error
	if errors.As(err, &ye) {
		if t := ye.GetToken(); t != nil && t.Position != nil {
			f.Line = t.Position.Line
		}
		f.Wrong = ye.GetMessage()
	}
	return f
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameRule = "use 1 to 63 of a-z 0-9 . _ -, starting with a letter or digit"

// checker collects the faults of a document.
type checker struct {
	file   *ast.File
	faults Faults
}

func (ck *checker) config(c Config) {
	spaces := make(map[unit.Workspace]bool)
	for i, w := range c.Workspaces {
		at := fmt.Sprintf("Workspaces[%d]", i)
		ck.name(at+".Name", string(w.Name), spaces[w.Name])
		spaces[w.Name] = true
		if w.Weight < 0 || w.Weight > 1000 {
			ck.add(at+".Weight", "%d; 0 to 1000 is allowed", w.Weight)
		}
	}
	pools := ck.pools(c.Pools)
	ck.keys(c.Keys, spaces)
	ck.routes(c.Routes, pools, spaces)
}

func (ck *checker) keys(keys []Key, spaces map[unit.Workspace]bool) {
	ids, hashes := make(map[unit.KeyID]bool), make(map[string]bool)
	for i, k := range keys {
		at := fmt.Sprintf("Keys[%d]", i)
		ck.name(at+".Id", string(k.ID), ids[k.ID])
		ids[k.ID] = true
		ck.workspace(at+".Workspace", k.Workspace, spaces)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != 32 {
			ck.add(at+".Hash", "not a SHA-256 in hexadecimal; 64 digits are allowed, and never the key itself")
		}
		if hashes[strings.ToLower(k.Hash)] {
			ck.add(at+".Hash", "stands twice; each key has one entry")
		}
		hashes[strings.ToLower(k.Hash)] = true
	}
}

func (ck *checker) routes(routes []Route, pools map[unit.Pool]bool, spaces map[unit.Workspace]bool) {
	seen := make(map[unit.Route]bool)
	for i, r := range routes {
		at := fmt.Sprintf("Routes[%d]", i)
		ck.name(at+".Name", string(r.Name), seen[r.Name])
		seen[r.Name] = true
		if !pools[r.Pool] {
			ck.add(at+".Pool", "%q is no pool of this document", r.Pool)
		}
		for j, w := range r.Workspaces {
			ck.workspace(fmt.Sprintf("%s.Workspaces[%d]", at, j), w, spaces)
		}
		if r.DeadlineMillis < 0 || r.DeadlineMillis > 3_600_000 {
			ck.add(at+".DeadlineMillis", "%d; 0 to 3600000 is allowed", r.DeadlineMillis)
		}
	}
}

func (ck *checker) pools(pools []Pool) map[unit.Pool]bool {
	seen, targets := make(map[unit.Pool]bool), make(map[unit.Target]bool)
	for i, p := range pools {
		at := fmt.Sprintf("Pools[%d]", i)
		ck.name(at+".Name", string(p.Name), seen[p.Name])
		seen[p.Name] = true
		if p.Kind != Model && p.Kind != Plain {
			ck.add(at+".Kind", "%q; Model or Plain is allowed", p.Kind)
		}
		for j, t := range p.Targets {
			at := fmt.Sprintf("%s.Targets[%d]", at, j)
			ck.name(at+".Name", string(t.Name), targets[t.Name])
			targets[t.Name] = true
			ck.name(at+".DataCentre", string(t.DataCentre), false)
			if _, _, err := net.SplitHostPort(t.Address); err != nil {
				ck.add(at+".Address", "%q; host:port is allowed", t.Address)
			}
		}
		for j, n := range p.Counts {
			at := fmt.Sprintf("%s.Counts[%d]", at, j)
			ck.name(at+".DataCentre", string(n.DataCentre), false)
			if n.Targets < 0 || n.Targets > 10_000 {
				ck.add(at+".Targets", "%d; 0 to 10000 is allowed", n.Targets)
			}
		}
	}
	return seen
}

func (ck *checker) name(field, name string, taken bool) {
	if !nameForm.MatchString(name) {
		ck.add(field, "%q; %s", name, nameRule)
	}
	if taken {
		ck.add(field, "%q stands twice; names are unique", name)
	}
}

func (ck *checker) workspace(field string, w unit.Workspace, spaces map[unit.Workspace]bool) {
	if !spaces[w] {
		ck.add(field, "%q is no workspace of this document", w)
	}
}

func (ck *checker) add(field, format string, args ...any) {
	f := Fault{Field: field, Wrong: fmt.Sprintf(format, args...)}
	f.Line = ck.line(field)
	ck.faults = append(ck.faults, f)
}

// line finds the line of a field, or of the nearest parent that is there.
func (ck *checker) line(field string) int {
	if ck.file == nil {
		return 0
	}
	for field != "" {
		if p, err := yaml.PathString("$." + field); err == nil {
			if n, err := p.FilterFile(ck.file); err == nil && n != nil {
				return n.GetToken().Position.Line
			}
		}
		field = field[:max(strings.LastIndexByte(field, '.'), 0)]
	}
	return 0
}
