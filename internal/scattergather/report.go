package scattergather

import (
	"encoding/json"
	"errors"
	"strconv"

	"wheatsaddle/gather"
	"wheatsaddle/internal/operr"
)

// Report is what a client is told of a final answer, as JSON.
type Report struct {
	Whole    bool  `json:"whole"`
	Missing  []int `json:"missing,omitempty"`  // shards of which nothing came
	Cut      []int `json:"cut,omitempty"`      // that ended before their end
	Conflict []int `json:"conflict,omitempty"` // that are in conflict, with themselves or others
	// Why is why a part is missing or cut, by shard: a code, and of a part that failed its cause.
	Why       map[string]string `json:"why,omitempty"`
	Conflicts int64             `json:"conflicts,omitempty"` // keys whose rows differ
	Truncated string            `json:"truncated,omitempty"` // the rule that ended it
	Token     string            `json:"token,omitempty"`     // to go on
	Limited   bool              `json:"limited,omitempty"`   // of a partial result: it stopped at its rows
	Code      string            `json:"code,omitempty"`      // why it ended early or could not begin
	Error     string            `json:"error,omitempty"`
	Advice    string            `json:"advice,omitempty"`
}

// Report words a final answer. Error and Advice are left out of a whole one and, to keep a trailer short, where brief.
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
			r.Why[strconv.Itoa(shard)] = reason(p.Why)
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
	switch err := f.Why(); {
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

// JSON is the report's text, in one line.
func (r Report) JSON() []byte {
	text, err := json.Marshal(r)
	if err != nil {
		panic(err) // it has only plain fields
	}
	return text
}

// Why is the error that a final answer rests on; nil: none.
func (f Final) Why() error {
	switch f.Kind {
	case Invalid:
		return f.Err
	case Refused:
		return &Refusal{f.RetryAfter}
	case Late:
		return &TooLate{}
	}
	return f.Result.Err
}

func reason(err error) string {
	var failed *Failed
	var told *gather.Told
	var c operr.Coded
	switch {
	case errors.As(err, &failed):
		return failed.Code() + ": " + failed.Cause
	case errors.As(err, &told): // by a partial result
		return told.Why
	case errors.As(err, &c):
		return c.Code()
	}
	return "internal"
}
