package steplife

import (
	"strings"
	"testing"

	"github.com/catkinhead/catkinhead/pkg/clock"
)

// log is the course of a job of two groups, of which the trainer waits for both.
// The second item was moved from a slow target, and its reward call was repeated.
const log = `
0.01 edge-1 {"Time":"2026-01-01T00:00:00.010Z","Message":"job accepted","Job":"j","Step":4,"Model":"m","Items":2,"WantGroups":2}
not a line of the log
0.20 edge-1 {"Time":"2026-01-01T00:00:00.220Z","Message":"item run ended","Job":"j","Item":0,"Group":"g","End":"Whole","Target":"a","After":-1,"Last":5,"FirstMillis":10,"TookMillis":210}
0.40 edge-1 {"Time":"2026-01-01T00:00:00.410Z","Message":"item run ended","Job":"j","Item":1,"Group":"h","End":"Moved","Target":"a","After":-1,"Last":3,"FirstMillis":10,"TookMillis":390}
0.70 edge-1 {"Time":"2026-01-01T00:00:00.700Z","Message":"item run ended","Job":"j","Item":1,"Group":"h","End":"Whole","Target":"b","After":3,"Last":9,"FirstMillis":20,"TookMillis":220}
0.75 edge-1 {"Time":"2026-01-01T00:00:00.250Z","Message":"reward call ended","Job":"j","Item":0,"End":"Scored"}
0.75 edge-1 {"Time":"2026-01-01T00:00:00.730Z","Message":"reward call ended","Job":"j","Item":1,"End":"Broken"}
0.76 edge-1 {"Time":"2026-01-01T00:00:00.760Z","Message":"reward call ended","Job":"j","Item":1,"End":"Scored"}
0.77 edge-1 {"Time":"2026-01-01T00:00:00.300Z","Message":"results listed","Job":"j","Items":1,"Listed":1}
0.78 edge-1 {"Time":"2026-01-01T00:00:00.780Z","Message":"results listed","Job":"j","Items":1,"Listed":2}
1.00 edge-2 {"Time":"2026-01-01T00:00:01.000Z","Message":"call about a job","Job":"j","Ends":true,"Status":200}
{"Message":"job taken over","Job":"never accepted"}
`

func TestRows(t *testing.T) {
	report, err := Read(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	rows := report.Rows()
	if len(rows) != 1 {
		t.Fatalf("%d rows", len(rows))
	}
	r := rows[0]
	if !r.Done || r.Item != 1 || r.Group != "h" || r.Step != 4 || r.Total != 990 || r.Listed != 2 || r.Count != 10 || r.Targets != "a=Moved b=Whole" {
		t.Errorf("got %+v", r)
	}
	// The usual time between events is that of item 0, 40 ms.
	want := Losses{Start: 10, Between: 70, First: 30, Events: 320, Stalled: 260, Score: 60, List: 20, Read: 220}
	if got := r.Losses; got.Start != want.Start || got.Between != want.Between || got.First != want.First ||
		got.Score != want.Score || got.List != want.List || got.Read != want.Read {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if sum := r.Losses.Events + r.Losses.Stalled; sum != want.Events+want.Stalled {
		t.Errorf("runs after their first events took %d ms, want %d", sum, want.Events+want.Stalled)
	}
}

func TestUnfinishedGroupsHaveNoCriticalItem(t *testing.T) {
	lines := strings.Split(log, "\n")
	report, err := Read(strings.NewReader(strings.Join(append(lines[:3:3], lines[4]), "\n")))
	if err != nil {
		t.Fatal(err)
	}
	if r := report.Rows()[0]; r.Done || r.Total != clock.Millis(0) {
		t.Errorf("got %+v", r)
	}
}

func TestReadNamesTooLongLines(t *testing.T) {
	if _, err := Read(strings.NewReader(strings.Repeat("x", 2*maxLineBytes))); err == nil {
		t.Error("no error")
	}
}
