package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"

	"github.com/catkinhead/catkinhead/internal/admit"
	"github.com/catkinhead/catkinhead/internal/decide"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
)

// maxLine is the maximum length of a line in bytes.
const maxLine = 16 << 20

// Header is the first line of a trace.
type Header struct {
	Self op.MemberInfo
	// Window is the length of a usage window.
	Window clock.Millis
	// Policy is the name of the admission policy; empty is the default.
	Policy string `json:",omitempty"`
}

// Entry is one event and its effects.
type Entry struct {
	At    clock.Millis
	Event Named
	// Effects is nil if replay should accept any effects, and empty if there
	// must be none.
	Effects []Named
}

// Named is an encoded event or effect with the Go name of its type.
type Named struct {
	Name string
	Data json.RawMessage
}

// Writer writes a trace. It is not safe for concurrent use.
type Writer struct{ enc *json.Encoder }

// NewWriter writes the header and returns a Writer for the entries.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	enc := json.NewEncoder(w)
	if err := enc.Encode(h); err != nil {
		return nil, fmt.Errorf("write trace header: %w", err)
	}
	return &Writer{enc: enc}, nil
}

// Write writes an entry.
func (w *Writer) Write(now clock.Millis, ev op.Event, effects op.List) error {
	e := Entry{At: now, Effects: []Named{}}
	var err error
	if e.Event, err = encodeNamed(ev); err != nil {
		return err
	}
	for _, x := range effects {
		n, err := encodeNamed(x)
		if err != nil {
			return err
		}
		e.Effects = append(e.Effects, n)
	}
	if err := w.enc.Encode(e); err != nil {
		return fmt.Errorf("write trace entry: %w", err)
	}
	return nil
}

// Difference is the error for a replay whose effects differ from the trace.
type Difference struct {
	// Line is the line number in the trace, from 1.
	Line int
	// Effect is the index of the effect within the entry.
	Effect int
	// Want is the recorded effect and Got the one from the replay, "nothing" if
	// there is none.
	Want, Got string
}

// Error implements error.
func (d *Difference) Error() string {
	return fmt.Sprintf("line %d, effect %d: recorded %s, got %s", d.Line, d.Effect, d.Want, d.Got)
}

// Replay replays a trace up to the first difference. It returns the number of
// entries that were read. The error is a *Difference if an effect differs, and
// another one if the trace cannot be read or decoded.
func Replay(r io.Reader) (int, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	if !sc.Scan() {
		return 0, errors.Join(errors.New("trace is empty"), sc.Err())
	}
	var h Header
	if err := decodeStrict(sc.Bytes(), &h); err != nil {
		return 0, fmt.Errorf("line 1: header: %w", err)
	}
	state := decide.New(h.Self, h.Window)
	state.Admit.Policy = admit.Policies[h.Policy]
	line := 1
	for sc.Scan() {
		line++
		if err := replayLine(state, sc.Bytes(), line); err != nil {
			return line - 1, err
		}
	}
	if err := sc.Err(); err != nil {
		return line - 1, fmt.Errorf("line %d: %w", line+1, err)
	}
	return line - 1, nil
}

// replayLine replays one entry.
func replayLine(state *decide.State, b []byte, line int) error {
	var e Entry
	if err := decodeStrict(b, &e); err != nil {
		return fmt.Errorf("line %d: %w", line, err)
	}
	ev, err := decodeEvent(e.Event)
	if err != nil {
		return fmt.Errorf("line %d: %w", line, err)
	}
	got := state.Reduce(e.At, ev)
	if e.Effects == nil {
		return nil
	}
	return compareEffects(line, e.Effects, got)
}

// compareEffects returns a *Difference for the first effect that differs.
func compareEffects(line int, want []Named, got op.List) error {
	for i := range max(len(want), len(got)) {
		w, g := "nothing", "nothing"
		if i < len(want) {
			w = want[i].compactText()
		}
		if i < len(got) {
			n, err := encodeNamed(got[i])
			if err != nil {
				return err
			}
			g = n.compactText()
		}
		if w != g {
			return &Difference{Line: line, Effect: i, Want: w, Got: g}
		}
	}
	return nil
}

// compactText returns the name and the data, without insignificant white
// space, for comparison and error messages.
func (n Named) compactText() string {
	var b bytes.Buffer
	if json.Compact(&b, n.Data) != nil {
		return n.Name + " " + string(n.Data)
	}
	return n.Name + " " + b.String()
}

// encodeNamed encodes an event or effect.
func encodeNamed(v any) (Named, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Named{}, fmt.Errorf("encode %T: %w", v, err)
	}
	return Named{Name: reflect.TypeOf(v).Name(), Data: b}, nil
}

// decodeEvent decodes an event. It also parses the configuration document in it,
// since that is not recorded in parsed form.
func decodeEvent(n Named) (op.Event, error) {
	t, ok := eventTypes[n.Name]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", n.Name)
	}
	p := reflect.New(t)
	if err := decodeStrict(n.Data, p.Interface()); err != nil {
		return nil, fmt.Errorf("event %s: %w", n.Name, err)
	}
	ev := p.Elem().Interface().(op.Event)
	if sr, ok := ev.(op.StateRead); ok && sr.State != nil {
		if err := sr.State.Parse(); err != nil {
			return nil, err
		}
	}
	return ev, nil
}

// decodeStrict decodes JSON and rejects unknown fields.
func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// eventTypes maps names to types, for all events of the reducer in package
// decide.
var eventTypes = typesByName(
	op.Tick{}, op.Arrive{}, op.CallerGone{}, op.Finished{}, op.LeaseRead{},
	op.LeaseWritten{}, op.StateRead{}, op.StateChanged{}, op.PeerHeard{}, op.PeerSilent{},
	op.Withdraw{}, op.WithdrawalsStored{}, op.LoadRead{}, op.ListRead{}, op.OpenStep{},
	op.StepRead{}, op.StepSaved{}, op.PullSamples{}, op.CloseStep{}, op.UsageKept{},
	op.SealedRead{}, op.Gathered{}, op.WindowSealed{}, op.WindowReported{}, op.IntentsRead{},
	op.IntentsWritten{}, op.OrderSent{}, op.SwapSent{}, op.VersionsRead{}, op.Drain{},
)

// typesByName maps the type names of events to their types.
func typesByName(list ...op.Event) map[string]reflect.Type {
	out := make(map[string]reflect.Type)
	for _, e := range list {
		t := reflect.TypeOf(e)
		out[t.Name()] = t
	}
	return out
}
