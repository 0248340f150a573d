package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/catkinhead/catkinhead/internal/budget"
	"github.com/catkinhead/catkinhead/internal/heartbeat"
	"github.com/catkinhead/catkinhead/internal/op"
	"github.com/catkinhead/catkinhead/pkg/clock"
	"github.com/catkinhead/catkinhead/pkg/platform"
	"github.com/catkinhead/catkinhead/pkg/unit"
)

const (
	// reuseTimeout bounds how long a new job waits for the texts of earlier ones.
	// It is a part of the time in which the submission has to be answered.
	reuseTimeout = 150 * time.Millisecond
	// textRetention is how long the texts of an ended job are kept for later
	// jobs, which follow within some seconds.
	textRetention = 20 * clock.Second
	// maxReuseBytes bounds the body of a call for kept texts and that of its
	// answer, in bytes.
	maxReuseBytes = 8 << 20
)

// keptRequest asks the owner of an earlier job for the kept texts of some items:
// those that the owner still has in memory.
type keptRequest struct {
	Workspace unit.Workspace
	// Job is the later job that repeats the items.
	Job   string
	Items []string
	// MinVersion is the oldest version whose text can be used.
	MinVersion unit.Version
}

// keptText is an earlier job's text of an item: the complete output if Whole is
// set, else its first events. Line is the text's lineage, Last the ID of its
// last event. Score is what the reward call with the ID Reward gave for the text.
type keptText struct {
	ID       string
	Whole    bool
	Score    string       `json:",omitempty"`
	Reward   unit.Request `json:",omitempty"`
	Events   []string
	Versions []unit.Version
	Last     int64
	Line     string
}

// series identifies the jobs that one trainer submits step after step: those
// with the same workspace, route and model. It is 0 for jobs without a model.
func (j *jobContent) series() unit.Series {
	if j.job.Model == "" {
		return 0
	}
	key := strings.Join([]string{string(j.record.Workspace), string(j.record.Route), string(j.job.Model)}, "\x00")
	return unit.Series(xxhash.Sum64String(key))
}

// keptTexts returns copies of the job's texts of some items: runs of this job may
// still add to its own. It leaves out items that were given up, and texts of which any
// part was made by a version older than minVersion.
func (j *jobContent) keptTexts(items []string, minVersion unit.Version) []keptText {
	results := make(map[string]platform.Result, len(j.results))
	for _, r := range j.results {
		results[r.ID] = r
	}
	var out []keptText
	for _, id := range items {
		i, ok := j.index[id]
		if !ok {
			continue
		}
		t := &j.texts[i]
		kept := keptText{ID: id, Events: slices.Clone(t.events), Versions: t.versions, Last: t.lastEvent, Line: t.lineage, Whole: t.whole, Score: t.score}
		if r, ok := results[id]; ok {
			kept = keptText{ID: id, Whole: !r.GivenUp, Events: []string{r.Text}, Versions: r.Versions, Score: r.Score}
			if r.GivenUp {
				continue
			}
		}
		if reward := j.job.Items[i].Reward; reward != nil {
			kept.Reward = reward.ID
		}
		kept.Versions = slices.Clone(kept.Versions)
		if len(kept.Events) > 0 && !anyOlder(kept.Versions, minVersion) {
			out = append(out, kept)
		}
	}
	return out
}

// positions returns the positions of those of the items that the job has.
func (j *jobContent) positions(items []string) []int {
	var out []int
	for _, id := range items {
		if i, ok := j.index[id]; ok {
			out = append(out, i)
		}
	}
	return out
}

// anyOlder reports whether any of the versions is older than minVersion.
func anyOlder(versions []unit.Version, minVersion unit.Version) bool {
	for _, v := range versions {
		if v < minVersion {
			return true
		}
	}
	return false
}

// reuseTexts copies texts of earlier jobs to the items that have none yet, with
// their scores if the reward call is the same. It returns how many of the texts
// are complete.
func (j *jobContent) reuseTexts(texts []keptText) (whole int) {
	for _, kept := range texts {
		i, ok := j.index[kept.ID]
		if !ok || j.texts[i].run != 0 || len(j.texts[i].events) > 0 {
			continue
		}
		j.texts[i] = itemText{events: kept.Events, size: textSize(kept.Events), versions: kept.Versions, lastEvent: kept.Last, lineage: kept.Line, whole: kept.Whole}
		if kept.Whole {
			j.texts[i].lastEvent = -1
			whole++
		}
		if reward := j.job.Items[i].Reward; reward != nil && reward.ID == kept.Reward {
			j.texts[i].score = kept.Score
		}
	}
	return whole
}

// ownNewJob makes this instance the owner of a job that it has just stored, or
// that runs ahead of its storage. It returns false if this instance holds the job
// already. The job may repeat items of earlier jobs of its series: those of groups that were
// not listed completely in the results there. Texts that the owners of the earlier
// jobs still have are not generated again.
func (p *Process) ownNewJob(ctx context.Context, c *jobContent, ahead bool) bool {
	gained := op.JobOwnershipGained{Shape: c.shape(), Epoch: c.epoch, Ahead: ahead}
	var predecessors []heartbeat.Predecessor
	if c.series() != 0 {
		p.withState(func(now clock.Millis, s *State) {
			predecessors = s.Heartbeats.Predecessors(now, c.series(), c.job.ID)
			// The jobs that are known when a trainer submits a new one are earlier ones.
			gained.Compared = len(s.Heartbeats.SeriesJobs(c.series()))
		})
	}
	if len(predecessors) > 0 {
		p.reuseEarlierTexts(ctx, c, predecessors)
		gained.Saved = c.lastKeptEvents()
		gained.Whole, gained.Scored = c.wholeItems()
	}
	if !p.contents.put(c.job.ID, c) {
		return false
	}
	p.apply(gained)
	return true
}

// reuseEarlierTexts copies texts of earlier jobs to a new job.
func (p *Process) reuseEarlierTexts(ctx context.Context, c *jobContent, predecessors []heartbeat.Predecessor) {
	ctx, cancel := context.WithTimeout(ctx, reuseTimeout)
	defer cancel()
	request := keptRequest{Workspace: c.record.Workspace, Job: c.job.ID, MinVersion: c.job.MinVersion}
	for _, it := range c.job.Items {
		request.Items = append(request.Items, it.ID)
	}
	for _, predecessor := range predecessors {
		texts, err := p.fetchKeptTexts(ctx, predecessor, request)
		if err != nil {
			p.log.WithFields(logrus.Fields{"Job": c.job.ID, "From": predecessor.Job, "Owner": predecessor.Address, "Error": err.Error()}).Info("texts of an earlier job not taken")
			continue
		}
		if len(texts) == 0 {
			continue
		}
		whole := c.reuseTexts(texts)
		p.log.WithFields(logrus.Fields{
			"Job": c.job.ID, "From": predecessor.Job, "Texts": len(texts), "Whole": whole, "MinVersion": request.MinVersion,
		}).Info("texts of an earlier job taken")
	}
}

// fetchKeptTexts returns the texts of an earlier job from its owner, which may
// be this instance.
func (p *Process) fetchKeptTexts(ctx context.Context, predecessor heartbeat.Predecessor, request keptRequest) ([]keptText, error) {
	if predecessor.Address == "" {
		return p.localKeptTexts(predecessor.Job, request), nil
	}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	u := "http://" + predecessor.Address + "/v1/jobs/" + url.PathEscape(predecessor.Job) + "/kept"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	res, err := p.transport.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask owner: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("owner answered with status %d", res.StatusCode)
	}
	var texts []keptText
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReuseBytes)).Decode(&texts); err != nil {
		return nil, fmt.Errorf("decode texts: %w", err)
	}
	return texts, nil
}

// localKeptTexts returns this instance's texts of items in an earlier job, and stops
// to run them there. Before the job's claim is stored there are none: a former owner
// may still list other texts for these items.
func (p *Process) localKeptTexts(job string, request keptRequest) (texts []keptText) {
	repeated := op.ItemsRepeated{Job: job, Later: request.Job}
	p.contents.withJob(job, func(c *jobContent) {
		if c.record.Workspace == request.Workspace {
			repeated.Items = c.positions(request.Items)
		}
	})
	if len(repeated.Items) > 0 {
		p.apply(repeated)
	}
	p.contents.withJob(job, func(c *jobContent) {
		if c.record.Workspace == request.Workspace && (c.claimed || c.ended) {
			texts = c.keptTexts(request.Items, request.MinVersion)
		}
	})
	return texts
}

// servePeerKeptTexts answers a peer that has accepted a later job of a series
// with this instance's texts of an earlier one.
func (p *Process) servePeerKeptTexts(c *gin.Context) {
	hold := p.openPeerHold(c.Request.Context())
	defer hold.Close()
	body, err := hold.ReadBody(c.Request.Context(), c.Request.Body, c.Request.ContentLength, maxReuseBytes)
	var request keptRequest
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	answer, err := json.Marshal(p.localKeptTexts(c.Param("job"), request))
	if err != nil || len(answer) > budget.Small && !hold.TryGrow(int64(len(answer))) {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	hold.Wait()
	c.Data(http.StatusOK, "application/json", answer)
}
