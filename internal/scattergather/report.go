package scattergather

import (
	"encoding/json"
	"errors"
	"strconv"

	"wheatsaddle/gather"
	"wheatsaddle/internal/operr"
)

// Report is the description of a final answer that is sent to the client as JSON.
type Report struct {
	Whole    bool  `json:"whole"`
	Missing  []int `json:"missing,omitempty"`  // shards without any row
	Cut      []int `json:"cut,omitempty"`      // shards whose rows are truncated
	Conflict []int `json:"conflict,omitempty"` // shards in conflict, with themselves or with others
	// Why is the reason for each missing or truncated shard: an error code, and for a failed part also its cause.
	Why       map[string]string `json:"why,omitempty"`
	Conflicts int64             `json:"conflicts,omitempty"` // keys whose rows differ
	Truncated string            `json:"truncated,omitempty"` // the rule that truncated the result
	Token     string            `json:"token,omitempty"`     // continues the read after the last row
	Limited   bool              `json:"limited,omitempty"`   // a partial result that stopped at its row limit
	Code      string            `json:"code,omitempty"`      // why the read ended early or could not start
	Error     string            `json:"error,omitempty"`
	Advice    string            `json:"advice,omitempty"`
}

// Report describes a final answer. Error and Advice are omitted if the answer is complete, and if brief is set, to keep a trailer short.
func (f Final) Report(brief bool) Report {
	r := Report{Whole: f.Result.Whole && f.Kind == Served, Conflicts: f.Result.Conflicts, Truncated: f.Result.Truncated,
		Token: f.Result.Token, Limited: f.Limited}
	for _, p := range f.Result.Parts {
		shard, err := strconv.Atoi(p.ID)
		if err != nil {
			shard = p.Shard
		}
		if p.Missing || p.Cut {
			if r.Why == nil {
				r.Why = map[string]string{}
			}
			r.Why[strconv.Itoa(shard)] = reasonCode(p.Why)
		}
		if p.Missing {
			r.Missing = append(r.Missing, shard)
		}
		if p.Cut {
			r.Cut = append(r.Cut, shard)
		}
		if p.Conflict {
			r.Conflict = append(r.Conflict, shard)
		}
	}
	var c operr.Coded
	switch err := f.Cause(); {
	case err == nil:
	case errors.As(err, &c):
		if r.Code = c.Code(); !brief {
			r.Error, r.Advice = err.Error(), c.Advice()
		}
	default:
		r.Code = "internal"
	}
	return r
}

// JSON returns the report as one line of JSON.
func (r Report) JSON() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: the report has only plain fields
	}
	return text
}

// Cause returns the error behind a final answer, or nil if there is none.
func (f Final) Cause() error {
	switch f.Kind {
	case Invalid:
		return f.Err
	case Rejected:
		return &Rejection{f.RetryAfter}
	case DeadlineExceeded:
		return &ClientDeadlineExceeded{}
	}
	return f.Result.Err
}

func reasonCode(err error) string {
	var failed *PartFailed
	var reported *gather.Told
	var c operr.Coded
	switch {
	case errors.As(err, &failed):
		return failed.Code() + ": " + failed.Cause
	case errors.As(err, &reported): // by a partial result
		return reported.Why
	case errors.As(err, &c):
		return c.Code()
	}
	return "internal"
}
