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

// maxLine bounds one line, in bytes.
const maxLine = 16 << 20

// Header is the first line of a trace.
type Header struct {
	Self   op.MemberInfo
	Window clock.Millis
	// Policy is the name of the admission policy; empty is the default.
	Policy string `json:",omitempty"`
}

// Entry is one event and its effects.
type Entry struct {
	At    clock.Millis
	Event Named
	// Effects is nil if the trace states none.
	Effects []Named
}

// Named is a value with the name of its type.
type Named struct {
	Name string
	Data json.RawMessage
}

// Writer writes a trace. It is for one goroutine.
type Writer struct{ enc *json.Encoder }

// NewWriter writes the header and returns a Writer.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	enc := json.NewEncoder(w)
	if err := enc.Encode(h); err != nil {
		return nil, fmt.Errorf("write trace header: %w", err)
	}
	return &Writer{enc: enc}, nil
}

// Write adds an event and its effects.
func (w *Writer) Write(now clock.Millis, ev op.Event, effects op.List) error {
	e := Entry{At: now, Effects: []Named{}}
	var err error
	if e.Event, err = name(ev); err != nil {
		return err
	}
	for _, x := range effects {
		n, err := name(x)
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

// Difference is the first effect that was not as stated.
type Difference struct {
	// Line of the trace, from 1.
	Line int
	// Effect is its place among the effects, from 0.
	Effect    int
	Want, Got string
}

// Error says where the replay differs.
func (d *Difference) Error() string {
	return fmt.Sprintf("line %d, effect %d: stated %s, got %s", d.Line, d.Effect, d.Want, d.Got)
}

// Replay runs a trace. It returns the number of events, and a *Difference for
// the first effect that differs.
func Replay(r io.Reader) (int, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 64<<10), maxLine)
	if !sc.Scan() {
		return 0, errors.Join(errors.New("trace is empty"), sc.Err())
	}
	var h Header
	if err := strict(sc.Bytes(), &h); err != nil {
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

func replayLine(state *decide.State, b []byte, line int) error {
	var e Entry
	if err := strict(b, &e); err != nil {
		return fmt.Errorf("line %d: %w", line, err)
	}
	ev, err := event(e.Event)
	if err != nil {
		return fmt.Errorf("line %d: %w", line, err)
	}
	got := state.Reduce(e.At, ev)
	if e.Effects == nil {
		return nil
	}
	return compare(line, e.Effects, got)
}

func compare(line int, want []Named, got op.List) error {
	for i := range max(len(want), len(got)) {
		w, g := "nothing", "nothing"
		if i < len(want) {
			w = want[i].text()
		}
		if i < len(got) {
			n, err := name(got[i])
			if err != nil {
				return err
			}
			g = n.text()
		}
		if w != g {
			return &Difference{Line: line, Effect: i, Want: w, Got: g}
		}
	}
	return nil
}

// text is the name and the data in one form.
func (n Named) text() string {
	var b bytes.Buffer
	if json.Compact(&b, n.Data) != nil {
		return n.Name + " " + string(n.Data)
	}
	return n.Name + " " + b.String()
}

func name(v any) (Named, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Named{}, fmt.Errorf("encode %T: %w", v, err)
	}
	return Named{Name: reflect.TypeOf(v).Name(), Data: b}, nil
}

func event(n Named) (op.Event, error) {
	t, ok := events[n.Name]
	if !ok {
		return nil, fmt.Errorf("event %q is not known", n.Name)
	}
	p := reflect.New(t)
	if err := strict(n.Data, p.Interface()); err != nil {
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

func strict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// events are all events by name.
var events = byName(
	op.Tick{}, op.Arrive{}, op.CallerGone{}, op.Finished{}, op.LeaseRead{},
	op.LeaseWritten{}, op.StateRead{}, op.StateChanged{}, op.PeerHeard{}, op.PeerSilent{},
	op.Withdraw{}, op.WithdrawalsStored{}, op.LoadRead{}, op.ListRead{}, op.OpenStep{},
	op.StepRead{}, op.StepSaved{}, op.PullSamples{}, op.CloseStep{}, op.UsageKept{},
	op.SealedRead{}, op.Gathered{}, op.WindowSealed{}, op.WindowReported{}, op.IntentsRead{},
	op.IntentsWritten{}, op.OrderSent{}, op.SwapSent{}, op.VersionsRead{}, op.Drain{},
)

func byName(list ...op.Event) map[string]reflect.Type {
	out := make(map[string]reflect.Type)
	for _, e := range list {
		t := reflect.TypeOf(e)
		out[t.Name()] = t
	}
	return out
}
