package step

import (
	"cmp"
	"slices"

	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/internal/usage"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

// bill marks an acknowledged sample as billed in the record and adds its tokens
// to a usage window. A sample that is billed already is left out.
func (st *Step) bill(i int32, w unit.Window) {
	r := &st.Record
	for len(r.Billed) <= int(i)/8 {
		r.Billed = append(r.Billed, 0)
	}
	bit := byte(1) << (i % 8)
	if r.Billed[i/8]&bit != 0 {
		return
	}
	r.Billed[i/8] |= bit
	st.Dirty = true
	usage.Add(&r.Usage, st.ID.Workspace, st.Samples[i].Result.Tokens, w)
}

// billAcknowledged sets the usage source of the record and bills all samples in
// status Acked. It is called after the record was replaced by the stored one,
// which may lack some of them, and when this instance becomes the owner.
func (st *Step) billAcknowledged(w unit.Window) {
	st.Record.Usage.Source = "step:" + st.ID.String()
	for i := range st.Samples {
		if st.Samples[i].Status == Acked {
			st.bill(int32(i), w)
		}
	}
}

// cloneRecord returns a deep copy, so that later changes don't affect a pending
// write.
func cloneRecord(r op.StepRecord) op.StepRecord {
	r.Billed = slices.Clone(r.Billed)
	r.Usage = usage.Clone(r.Usage)
	return r
}

func compareIDs(a, b unit.StepID) int { return cmp.Compare(a.String(), b.String()) }
