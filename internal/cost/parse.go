package cost

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tidwall/gjson"
)

// Schema is the JSON Schema of a question (draft 2020-12). ParsePlans checks the same by hand: it must name
// the step at fault, and a question is parsed while its asker waits.
//
//go:embed plans.schema.json
var Schema []byte

const deadlineMost = 86400000.0 // ms

// parser reads one question.
type parser struct {
	named map[string]gjson.Result
	under []string // named steps that are being read
	read  map[string]named
	steps int // of the plan under way
	deep  int // the deepest of them
}

// named is a step that has been read: each use is the same tree, which nobody changes.
type named struct {
	step         Step
	steps, depth int
}

// ParsePlans reads plans and deadline. References are put in place of their names.
func ParsePlans(text []byte) ([]Plan, time.Duration, error) {
	if !json.Valid(text) { // beside gjson, whose check has no bound on depth
		return nil, 0, &BadPlans{"", "not valid JSON"}
	}
	root := gjson.ParseBytes(text)
	p := &parser{named: map[string]gjson.Result{}, read: map[string]named{}}
	keys, err := fields(root, "", "deadline_ms", "steps", "plans")
	if err != nil {
		return nil, 0, err
	}
	deadline := 0.0
	if v, ok := keys["deadline_ms"]; ok {
		if deadline, err = number(v, "", "deadline_ms", 0, deadlineMost); err != nil {
			return nil, 0, err
		}
	}
	if v, ok := keys["steps"]; ok {
		if !v.IsObject() {
			return nil, 0, &BadPlans{"steps", "want an object"}
		}
		v.ForEach(func(k, s gjson.Result) bool {
			if _, twice := p.named[k.Str]; twice {
				err = &BadPlans{"steps." + k.Str, "named twice"}
			}
			p.named[k.Str] = s
			return err == nil
		})
		if len(p.named) > StepsMost {
			err = &TooMuch{"steps", "named steps", StepsMost}
		}
		if err != nil {
			return nil, 0, err
		}
	}
	list := keys["plans"]
	if !list.IsArray() {
		return nil, 0, &BadPlans{"plans", "want a list"}
	}
	var plans []Plan
	list.ForEach(func(_, v gjson.Result) bool {
		if len(plans) == PlansMost {
			err = &TooMuch{"", "plans", PlansMost}
			return false
		}
		var plan Plan
		plan, err = p.plan(v, fmt.Sprintf("plans.%d", len(plans)))
		plans = append(plans, plan)
		return err == nil
	})
	if err == nil && len(plans) == 0 {
		err = &BadPlans{"plans", "no plans"}
	}
	if err == nil {
		err = p.unused()
	}
	if err != nil {
		return nil, 0, err
	}
	return plans, time.Duration(deadline * float64(time.Millisecond)), nil
}

// unused reads what no plan refers to: a fault there is a fault too.
func (p *parser) unused() error {
	for _, name := range sortedKeys(p.named) {
		p.steps = 0
		if _, err := p.ref(name, "steps", 0); err != nil {
			return err
		}
	}
	return nil
}

// ref is a named step, read once. Its size counts at each use.
func (p *parser) ref(name, way string, depth int) (Step, error) {
	got, ok := p.read[name]
	if !ok {
		text, ok := p.named[name]
		switch {
		case !ok:
			return Step{}, &UnknownName{way, "step", name}
		case slices.Contains(p.under, name):
			return Step{}, &Cycle{way, name}
		}
		p.under = append(p.under, name)
		steps, deep := p.steps, p.deep
		p.steps, p.deep = 0, 0
		s, err := p.step(text, "steps."+name, 1)
		if err != nil {
			return s, err
		}
		got = named{s, p.steps, p.deep}
		p.steps, p.deep, p.read[name] = steps, deep, got
		p.under = p.under[:len(p.under)-1]
	}
	return got.step, p.count(way, got.steps, depth+got.depth)
}

func (p *parser) count(way string, steps, depth int) error {
	p.steps += steps
	p.deep = max(p.deep, depth)
	switch {
	case p.steps > StepsMost:
		return &TooMuch{way, "steps in a plan", StepsMost}
	case depth > DepthMost:
		return &TooMuch{way, "steps one inside the other", DepthMost}
	}
	return nil
}

func (p *parser) plan(v gjson.Result, way string) (Plan, error) {
	plan := Plan{Left: -1}
	keys, err := fields(v, way, "name", "limit", "left", "root")
	if err != nil {
		return plan, err
	}
	name := keys["name"]
	if name.Type != gjson.String || name.Str == "" || len(name.Str) > 256 {
		return plan, &BadPlans{way, "name: want 1 to 256 letters"}
	}
	plan.Name = name.Str
	if l, ok := keys["limit"]; ok {
		if l.Type != gjson.String {
			return plan, &BadPlans{way, "limit: want a name"}
		}
		plan.Limit = l.Str
	}
	if l, ok := keys["left"]; ok {
		if plan.Left, err = number(l, way, "left", 0, unitsMost); err != nil {
			return plan, err
		}
	}
	root, ok := keys["root"]
	if !ok {
		return plan, &BadPlans{way, "no root"}
	}
	p.steps = 0
	plan.Root, err = p.step(root, way+".root", 1)
	return plan, err
}

func (p *parser) step(v gjson.Result, way string, depth int) (Step, error) {
	keys, err := fields(v, way, "work", "then", "all", "any", "of", "ref")
	if err != nil {
		return Step{}, err
	}
	if len(keys) != 1 {
		return Step{}, &BadPlans{way, "want one of work, then, all, any, of, ref"}
	}
	kind := sortedKeys(keys)[0]
	body := keys[kind]
	if kind == "ref" { // itself no step
		if body.Type != gjson.String {
			return Step{}, &BadPlans{way, "ref: want a name"}
		}
		return p.ref(body.Str, way, depth-1)
	}
	if err := p.count(way, 1, depth); err != nil {
		return Step{}, err
	}
	switch kind {
	case "work":
		w, err := work(body, way+".work")
		return Step{Work: w}, err
	case "of":
		of, err := fields(body, way+".of", "k", "steps")
		if err != nil {
			return Step{}, err
		}
		list, err := p.list(of["steps"], way+".of", depth)
		if err != nil {
			return Step{}, err
		}
		if len(list) > QuorumMost {
			return Step{}, &TooMuch{way, "steps of one of", QuorumMost}
		}
		k, err := whole(of["k"], way, "of.k", 1, len(list))
		return Step{Of: &Quorum{K: k, Steps: list}}, err
	}
	list, err := p.list(body, way+"."+kind, depth)
	switch kind {
	case "then":
		return Step{Then: list}, err
	case "all":
		return Step{All: list}, err
	}
	return Step{Any: list}, err
}

func (p *parser) list(v gjson.Result, way string, depth int) (list []Step, err error) {
	if !v.IsArray() {
		return nil, &BadPlans{way, "want a list of steps"}
	}
	v.ForEach(func(_, s gjson.Result) bool {
		var next Step
		next, err = p.step(s, fmt.Sprintf("%s.%d", way, len(list)), depth+1)
		list = append(list, next)
		return err == nil
	})
	if err == nil && len(list) == 0 {
		err = &BadPlans{way, "no steps"}
	}
	return list, err
}

func work(v gjson.Result, way string) (*Work, error) {
	keys, err := fields(v, way, "shard", "class", "units", "node")
	if err != nil {
		return nil, err
	}
	w := &Work{}
	if w.Shard, err = whole(keys["shard"], way, "shard", 0, 1<<20); err != nil {
		return nil, err
	}
	if w.Units, err = number(keys["units"], way, "units", math.SmallestNonzeroFloat64, unitsMost); err != nil {
		return nil, err
	}
	class, node := keys["class"], keys["node"]
	if class.Type != gjson.String || class.Str == "" {
		return nil, &BadPlans{way, "class: want a name"}
	}
	if node.Exists() && (node.Type != gjson.String || node.Str == "") {
		return nil, &BadPlans{way, "node: want a name"}
	}
	w.Class, w.Node = class.Str, node.Str
	return w, nil
}

// fields are the members of an object, each known and once.
func fields(v gjson.Result, way string, known ...string) (map[string]gjson.Result, error) {
	if !v.IsObject() {
		return nil, &BadPlans{way, "want an object"}
	}
	got := make(map[string]gjson.Result, len(known))
	var err error
	v.ForEach(func(k, m gjson.Result) bool {
		if _, twice := got[k.Str]; twice || !slices.Contains(known, k.Str) {
			err = &BadPlans{way, fmt.Sprintf("key %q is not known here, or stands twice", k.Str)}
		}
		got[k.Str] = m
		return err == nil
	})
	return got, err
}

func number(v gjson.Result, way, key string, least, most float64) (float64, error) {
	if v.Type != gjson.Number {
		return 0, &BadPlans{way, key + ": want a number"}
	}
	if !(v.Num >= least && v.Num <= most) {
		return 0, &BadFigure{way, key, v.Num, wantRange(least, most)}
	}
	return v.Num, nil
}

func whole(v gjson.Result, way, key string, least, most int) (int, error) {
	n, err := number(v, way, key, float64(least), float64(most))
	if err == nil && n != math.Trunc(n) {
		err = &BadFigure{way, key, n, "a whole number"}
	}
	return int(n), err
}
