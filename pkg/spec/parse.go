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

// MaxDocumentBytes is the size of the largest document. The store limits values
// to one megabyte.
const MaxDocumentBytes = 1 << 20

// Fault is one validation error in a document.
type Fault struct {
	// Line is the number of the line in the document, from 1; 0 means unknown.
	Line int
	// Field is the path of the field, such as "Keys[0].Hash".
	Field string
	// Message gives the value found and what is allowed.
	Message string
}

// Faults holds all validation errors of a document.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = fmt.Sprintf("line %d: %s: %s", x.Line, x.Field, x.Message)
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and validates a document. Any error is of type Faults.
func Parse(doc []byte) (Config, error) {
	var c Config
	if len(doc) > MaxDocumentBytes {
		return c, Faults{{Field: "document", Message: fmt.Sprintf("%d bytes; at most %d are allowed", len(doc), MaxDocumentBytes)}}
	}
	if err := decode(doc, &c); err != nil {
		return Config{}, Faults{syntaxFault(err)}
	}
	v := validator{}
	if file, err := parser.ParseBytes(doc, 0); err == nil {
		v.file = file
	}
	v.checkConfig(c)
	if len(v.faults) > 0 {
		return Config{}, v.faults
	}
	return c, nil
}

// errUnreadable replaces a panic of the YAML library, which happens for example
// on a tag without a value.
var errUnreadable = errors.New("is no YAML that can be read; look for a tag, anchor or sign without a value")

// decode decodes a document strictly: unknown fields are errors. An empty
// document is an empty configuration.
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

// Format encodes a Config as a YAML document. It does not validate c; Parse
// accepts the document if c is valid.
func Format(c Config) ([]byte, error) {
	b, err := yaml.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("format configuration: %w", err)
	}
	return b, nil
}

// syntaxFault converts an error of the YAML decoder to a Fault, with its line
// if the decoder gives one.
func syntaxFault(err error) Fault {
	f := Fault{Field: "document", Message: yaml.FormatError(err, false, false)}
	var ye yaml.Error
	if errors.As(err, &ye) {
		if t := ye.GetToken(); t != nil && t.Position != nil {
			f.Line = t.Position.Line
		}
		f.Message = ye.GetMessage()
	}
	return f
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// nameFormatHint describes namePattern in error messages.
const nameFormatHint = "use 1 to 63 of a-z 0-9 . _ -, starting with a letter or digit"

// validator collects the faults of a decoded document. file is its syntax tree,
// for line numbers; it is nil if the document could not be parsed again.
type validator struct {
	file   *ast.File
	faults Faults
}

// checkConfig checks the whole configuration.
func (v *validator) checkConfig(c Config) {
	workspaces := make(map[unit.Workspace]bool)
	for i, w := range c.Workspaces {
		at := fmt.Sprintf("Workspaces[%d]", i)
		v.checkName(at+".Name", string(w.Name), workspaces[w.Name])
		workspaces[w.Name] = true
		if w.Weight < 0 || w.Weight > 1000 {
			v.addFault(at+".Weight", "%d; 0 to 1000 is allowed", w.Weight)
		}
	}
	pools := v.checkPools(c.Pools)
	v.checkKeys(c.Keys, workspaces)
	v.checkRoutes(c.Routes, pools, workspaces)
}

// checkKeys checks all keys. Their ids and hashes must be unique, and their
// workspaces defined.
func (v *validator) checkKeys(keys []Key, workspaces map[unit.Workspace]bool) {
	ids, hashes := make(map[unit.KeyID]bool), make(map[string]bool)
	for i, k := range keys {
		at := fmt.Sprintf("Keys[%d]", i)
		v.checkName(at+".Id", string(k.ID), ids[k.ID])
		ids[k.ID] = true
		v.checkWorkspace(at+".Workspace", k.Workspace, workspaces)
		if b, err := hex.DecodeString(k.Hash); err != nil || len(b) != 32 {
			v.addFault(at+".Hash", "not a SHA-256 in hexadecimal; 64 digits are allowed, and never the key itself")
		}
		if hashes[strings.ToLower(k.Hash)] {
			v.addFault(at+".Hash", "appears twice; each key has one entry")
		}
		hashes[strings.ToLower(k.Hash)] = true
	}
}

// checkRoutes checks all routes and the pools and workspaces that they name.
func (v *validator) checkRoutes(routes []Route, pools map[unit.Pool]bool, workspaces map[unit.Workspace]bool) {
	seen := make(map[unit.Route]bool)
	for i, r := range routes {
		at := fmt.Sprintf("Routes[%d]", i)
		v.checkName(at+".Name", string(r.Name), seen[r.Name])
		seen[r.Name] = true
		if !pools[r.Pool] {
			v.addFault(at+".Pool", "%q is no pool of this document", r.Pool)
		}
		for j, w := range r.Workspaces {
			v.checkWorkspace(fmt.Sprintf("%s.Workspaces[%d]", at, j), w, workspaces)
		}
		if r.DeadlineMillis < 0 || r.DeadlineMillis > 3_600_000 {
			v.addFault(at+".DeadlineMillis", "%d; 0 to 3600000 is allowed", r.DeadlineMillis)
		}
	}
}

// checkPools checks all pools and returns their names.
func (v *validator) checkPools(pools []Pool) map[unit.Pool]bool {
	seen, targets := make(map[unit.Pool]bool), make(map[unit.Target]bool)
	for i, p := range pools {
		at := fmt.Sprintf("Pools[%d]", i)
		v.checkName(at+".Name", string(p.Name), seen[p.Name])
		seen[p.Name] = true
		if p.Kind != Model && p.Kind != Plain {
			v.addFault(at+".Kind", "%q; Model or Plain is allowed", p.Kind)
		}
		for j, t := range p.Targets {
			at := fmt.Sprintf("%s.Targets[%d]", at, j)
			v.checkName(at+".Name", string(t.Name), targets[t.Name])
			targets[t.Name] = true
			v.checkName(at+".DataCentre", string(t.DataCentre), false)
			if _, _, err := net.SplitHostPort(t.Address); err != nil {
				v.addFault(at+".Address", "%q; host:port is allowed", t.Address)
			}
		}
		for j, n := range p.Counts {
			at := fmt.Sprintf("%s.Counts[%d]", at, j)
			v.checkName(at+".DataCentre", string(n.DataCentre), false)
			if n.Targets < 0 || n.Targets > 10_000 {
				v.addFault(at+".Targets", "%d; 0 to 10000 is allowed", n.Targets)
			}
		}
	}
	return seen
}

// checkName checks the format of a name, and that it was not used before.
func (v *validator) checkName(field, name string, taken bool) {
	if !namePattern.MatchString(name) {
		v.addFault(field, "%q; %s", name, nameFormatHint)
	}
	if taken {
		v.addFault(field, "%q appears twice; names are unique", name)
	}
}

// checkWorkspace checks that a referenced workspace is defined.
func (v *validator) checkWorkspace(field string, w unit.Workspace, workspaces map[unit.Workspace]bool) {
	if !workspaces[w] {
		v.addFault(field, "%q is no workspace of this document", w)
	}
}

// addFault records a fault of a field, with its line.
func (v *validator) addFault(field, format string, args ...any) {
	f := Fault{Field: field, Message: fmt.Sprintf(format, args...)}
	f.Line = v.lineOf(field)
	v.faults = append(v.faults, f)
}

// lineOf returns the line of a field, or of its nearest enclosing field that is
// present in the document; 0 if none is.
func (v *validator) lineOf(field string) int {
	if v.file == nil {
		return 0
	}
	for field != "" {
		if p, err := yaml.PathString("$." + field); err == nil {
			if n, err := p.FilterFile(v.file); err == nil && n != nil {
				return n.GetToken().Position.Line
			}
		}
		field = field[:max(strings.LastIndexByte(field, '.'), 0)]
	}
	return 0
}
