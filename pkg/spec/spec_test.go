package spec

import (
	"errors"
	"strings"
	"testing"
)

const validDocument = `Workspaces:
  - Name: tide
    Weight: 2
Keys:
  - Id: k1
    Workspace: tide
    Hash: ` + "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae" + `
Routes:
  - Name: draft
    Pool: p
Pools:
  - Name: p
    Kind: Model
    Targets:
      - {Name: t1, Address: "127.0.0.1:80", DataCentre: a}
`

// TestParse checks which faults Parse reports for invalid documents.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		doc  string
		want []string
	}{
		"good":            {doc: validDocument},
		"empty":           {doc: ""},
		"unknown field":   {doc: "Wrkspaces: []\n", want: []string{"line 1"}},
		"syntax":          {doc: "Workspaces: [", want: []string{"document"}},
		"not a map":       {doc: "7", want: []string{"document"}},
		"two faults":      {doc: strings.Replace(strings.Replace(validDocument, "Kind: Model", "Kind: Modl", 1), "Pool: p", "Pool: q", 1), want: []string{`line 13: Pools[0].Kind: "Modl"`, `line 10: Routes[0].Pool: "q"`}},
		"key not hashed":  {doc: strings.Replace(validDocument, "2c26", "ck-x", 1), want: []string{"line 7: Keys[0].Hash"}},
		"wrong workspace": {doc: strings.Replace(validDocument, "Workspace: tide", "Workspace: tied", 1), want: []string{"line 6: Keys[0].Workspace"}},
		"twice":           {doc: validDocument + "  - Name: p\n    Kind: Plain\n", want: []string{"appears twice"}},
		"too large":       {doc: strings.Repeat("#", MaxDocumentBytes+1), want: []string{"at most"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(tc.doc))
			if len(tc.want) == 0 {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			var f Faults
			if !errors.As(err, &f) {
				t.Fatalf("got %v, want Faults", err)
			}
			for _, w := range tc.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("missing %q in:\n%v", w, err)
				}
			}
		})
	}
}

// FuzzParse checks that every document that Parse accepts can be formatted and
// parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Fuzz(func(t *testing.T, doc []byte) {
		c, err := Parse(doc)
		if err != nil {
			return
		}
		out, err := Format(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(out); err != nil {
			t.Fatalf("formatted document does not parse: %v\n%s", err, out)
		}
	})
}
