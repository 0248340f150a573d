package build

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"
)

// Release is the version of the program.
const Release = "0.1.0"

// Unknown stands for an ID that the program does not have.
const Unknown = "unknown"

const (
	// noteSection is the section of an ELF file in which the Go linker stores the
	// build ID.
	noteSection = ".note.go.buildid"
	// noteHeaderSize is the size of the fields before the name of an ELF note, in
	// bytes: the length of the name, the length of the description and the type.
	noteHeaderSize = 12
	// noteAlignment is the alignment of the description of an ELF note, in bytes.
	noteAlignment = 4
)

// Info names a build.
type Info struct {
	Release string
	// ID is a hash of the whole program file, the last part of what `go tool
	// buildid` prints. It is never empty, and two programs with the same ID run the
	// same code.
	ID string
	// Revision is the commit that was built; it ends with "+" if files were changed.
	// It is empty if the program was built without it (-buildvcs=false).
	Revision string
	// Go is the release of the toolchain, Platform the operating system and the
	// architecture.
	Go, Platform string
}

// Current returns the build of this process. The program file is read once.
var Current = sync.OnceValue(func() Info {
	info := Info{Release: Release, ID: Unknown, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	if b, ok := debug.ReadBuildInfo(); ok {
		info.Revision = revision(b)
	}
	if path, err := os.Executable(); err == nil {
		if id, err := ReadID(path); err == nil {
			info.ID = id
		}
	}
	return info
})

// String formats the build for a person.
func (i Info) String() string {
	return fmt.Sprintf("%s build %s", i.Release, i.ID)
}

// Fields returns the fields of log lines that name the build.
func (i Info) Fields() logrus.Fields {
	return logrus.Fields{"Release": i.Release, "Build": i.ID, "Revision": i.Revision, "Go": i.Go, "Platform": i.Platform}
}

// Metric returns the name, with its labels, of the gauge that is always 1.
func (i Info) Metric() string {
	return fmt.Sprintf("catkinhead_build_info{release=%q,build=%q,revision=%q,go=%q,platform=%q}", i.Release, i.ID, i.Revision, i.Go, i.Platform)
}

// ReadID returns the build ID of a program that was built for an ELF platform. It
// fails if the file cannot be read, is no ELF file, or was linked without an ID.
func ReadID(path string) (string, error) {
	f, err := elf.Open(path)
	if err != nil {
		return "", fmt.Errorf("open program: %w", err)
	}
	defer f.Close()
	s := f.Section(noteSection)
	if s == nil {
		return "", fmt.Errorf("%s has no section %s", path, noteSection)
	}
	note, err := s.Data()
	if err != nil {
		return "", fmt.Errorf("read section %s: %w", noteSection, err)
	}
	id, err := description(note, f.ByteOrder)
	if err != nil {
		return "", fmt.Errorf("section %s: %w", noteSection, err)
	}
	parts := strings.Split(string(bytes.TrimRight(id, "\x00")), "/")
	last := parts[len(parts)-1]
	if last == "" {
		return "", fmt.Errorf("%s was linked without a build ID", path)
	}
	return last, nil
}

// description returns the description of an ELF note.
func description(note []byte, order binary.ByteOrder) ([]byte, error) {
	if len(note) < noteHeaderSize {
		return nil, fmt.Errorf("note of %d bytes has no header", len(note))
	}
	nameSize, size := uint64(order.Uint32(note)), uint64(order.Uint32(note[4:]))
	begin := noteHeaderSize + (nameSize+noteAlignment-1)/noteAlignment*noteAlignment
	if begin+size > uint64(len(note)) {
		return nil, fmt.Errorf("note of %d bytes ends before its description", len(note))
	}
	return note[begin : begin+size], nil
}

// revision returns the commit of a build, or an empty text.
func revision(b *debug.BuildInfo) string {
	commit, changed := "", ""
	for _, s := range b.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	if commit == "" {
		return ""
	}
	return commit + changed
}
