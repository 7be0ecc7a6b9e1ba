package costs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/cost"
)

// encodeQuestion encodes the body of a request to the daemon's estimate endpoint.
func encodeQuestion(plans []cost.Plan, deadline time.Duration) ([]byte, error) {
	var step func(s *cost.Step) map[string]any
	list := func(all []cost.Step) (out []map[string]any) {
		for i := range all {
			out = append(out, step(&all[i]))
		}
		return out
	}
	step = func(s *cost.Step) map[string]any {
		switch {
		case s.Work != nil:
			return map[string]any{"work": map[string]any{"shard": s.Work.Shard, "class": s.Work.Class, "units": s.Work.Units, "node": s.Work.Node}}
		case s.Then != nil:
			return map[string]any{"then": list(s.Then)}
		case s.All != nil:
			return map[string]any{"all": list(s.All)}
		case s.Any != nil:
			return map[string]any{"any": list(s.Any)}
		}
		return map[string]any{"of": map[string]any{"k": s.Of.K, "steps": list(s.Of.Steps)}}
	}
	var all []map[string]any
	for i := range plans {
		all = append(all, map[string]any{"name": plans[i].Name, "root": step(&plans[i].Root)})
	}
	return json.Marshal(map[string]any{"plans": all, "deadline_ms": millis(deadline)})
}

// estimate requests the estimates of plans from a process, and retries while the process is too busy to answer.
func (bed *testbed) estimate(ctx context.Context, p int, plans []cost.Plan) (r cost.Ranking, err error) {
	body, err := encodeQuestion(plans, stretchedDeadline)
	if err != nil {
		return r, err
	}
	for {
		code, text, err := bed.postQuestion(ctx, p, body)
		if err != nil && (ctx.Err() != nil || !bed.fleet.Proc(p).Alive()) {
			return r, err
		}
		if err != nil || code == http.StatusServiceUnavailable || gjson.GetBytes(text, "code").Str == (&cost.TimeoutError{}).Code() {
			bed.mu.Lock()
			bed.row.Busy++
			bed.mu.Unlock()
			continue
		}
		for _, a := range gjson.GetBytes(text, "plans").Array() {
			r.Plans = append(r.Plans, cost.Answer{Name: a.Get("name").Str, Mean: a.Get("mean_ms").Num, Low: a.Get("p5_ms").Num, High: a.Get("p95_ms").Num,
				Basis: cost.Basis{Origins: int(a.Get("rests_on.origins").Num)}, Alike: make([]int, len(a.Get("alike").Array()))})
		}
		if code != http.StatusOK || len(r.Plans) != len(plans) {
			err = fmt.Errorf("process %d answered the estimate request with status %d: %s", p, code, text)
		}
		return r, err
	}
}

// postQuestion sends one request to the estimate endpoint of a process.
func (bed *testbed) postQuestion(ctx context.Context, p int, body []byte) (code int, text []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+bed.fleet.AdminAddress(p)+"/api/estimate", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := bed.adminClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// baselineRankings are the rankings by the other two estimators: from the answers of all processes, and from those of
// process p.
func (bed *testbed) baselineRankings(p int, estimators *[estimatorCount]*cost.Estimator, plans []cost.Plan) (got [estimatorCount]cost.Ranking, err error) {
	bed.mu.Lock()
	now := time.Since(bed.startedAt)
	allViews, ownViews := bed.allAnswers.state.Views(now), bed.ownAnswers[p].state.Views(now)
	bed.mu.Unlock()
	estimators[fleetMean].SetViews(fleetMeanViews(allViews))
	estimators[ownOnly].SetViews(ownViews)
	for k := fleetMean; k < estimatorCount && err == nil; k++ {
		got[k], err = estimators[k].Estimate(plans, stretchedDeadline)
	}
	return got, err
}
