package build_test

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/internal/build"
)

// Guards against records that fit any code: two programs that differ in one
// statement must have different IDs, also without the revision in the build.
func TestIDDiffersWithTheCode(t *testing.T) {
	first := compile(t, `package main; func main() { println(1) }`)
	again := compile(t, `package main; func main() { println(1) }`)
	other := compile(t, `package main; func main() { println(2) }`)
	if readID(t, first) != readID(t, again) {
		t.Error("the same code built in two folders has different IDs")
	}
	if readID(t, first) == readID(t, other) {
		t.Error("different code has the same ID")
	}
}

// Guards against an ID that is read from the wrong place: it is the one that the
// toolchain prints.
func TestIDIsThatOfTheToolchain(t *testing.T) {
	path := compile(t, `package main; func main() {}`)
	out, err := exec.Command("go", "tool", "buildid", path).Output()
	if err != nil {
		t.Fatal(err)
	}
	if id := readID(t, path); !strings.HasSuffix(strings.TrimSpace(string(out)), "/"+id) {
		t.Errorf("ID is %s, the toolchain says %s", id, out)
	}
}

func TestReadIDRefuses(t *testing.T) {
	text := filepath.Join(t.TempDir(), "text")
	if err := os.WriteFile(text, []byte("no program"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, path := range map[string]string{
		"no file": filepath.Join(t.TempDir(), "none"), "no program": text,
		"linked without an ID": compile(t, `package main; func main() {}`, "-ldflags=-buildid="),
	} {
		t.Run(name, func(t *testing.T) {
			if id, err := build.ReadID(path); err == nil {
				t.Errorf("ID is %q, want an error", id)
			}
		})
	}
}

// Guards against a command, a start line or a metric that names another build than
// the program has.
func TestProgramNamesItsBuild(t *testing.T) {
	path := filepath.Join(t.TempDir(), "catkinhead")
	run(t, "..", "go", "build", "-buildvcs=false", "-o", path, "../cmd/catkinhead")
	var got build.Info
	if err := json.Unmarshal(run(t, ".", path, "version", "--json"), &got); err != nil {
		t.Fatal(err)
	}
	if want := readID(t, path); got.ID != want || got.Release != build.Release {
		t.Errorf("version prints %+v, want ID %s", got, want)
	}
	if out := run(t, ".", path, "--version"); !bytes.Contains(out, []byte(got.ID)) {
		t.Errorf("--version prints %s without the ID", out)
	}
	if m := got.Metric(); !strings.Contains(m, `build="`+got.ID+`"`) {
		t.Errorf("metric is %s", m)
	}
	if got.Fields()["Build"] != got.ID {
		t.Errorf("log fields are %v", got.Fields())
	}
}

// compile builds a program from one file, in a folder of its own.
func compile(t *testing.T, source string, flags ...string) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "main.go"), []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	args := append([]string{"build", "-buildvcs=false", "-trimpath"}, flags...)
	run(t, dir, "go", append(args, "-o", "program", "main.go")...)
	return filepath.Join(dir, "program")
}

func readID(t *testing.T, path string) string {
	t.Helper()
	id, err := build.ReadID(path)
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func run(t *testing.T, dir, name string, args ...string) []byte {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%s %v: %v", name, args, err)
	}
	return out
}
