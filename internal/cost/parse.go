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

// Schema is the JSON Schema (draft 2020-12) of the input of ParsePlans. ParsePlans makes the same checks by hand,
// because its errors name the invalid step, and because it must be fast: the client waits for it.
//
//go:embed plans.schema.json
var Schema []byte

const maxDeadlineMs = 86400000.0

// parser parses one input.
type parser struct {
	definitions map[string]gjson.Result
	resolving   []string // named steps whose definitions are being parsed
	parsed      map[string]parsedStep
	stepCount   int // of the current plan or named step
	depth       int // greatest depth in it
}

// parsedStep is a parsed named step. All references share its tree, which must not be changed.
type parsedStep struct {
	step             Step
	stepCount, depth int
}

// ParsePlans parses plans and their deadline, and replaces each reference by the step that it names.
func ParsePlans(text []byte) ([]Plan, time.Duration, error) {
	if !json.Valid(text) { // gjson's check does not limit the depth
		return nil, 0, &MalformedPlansError{"", "not valid JSON"}
	}
	root := gjson.ParseBytes(text)
	p := &parser{definitions: map[string]gjson.Result{}, parsed: map[string]parsedStep{}}
	keys, err := objectFields(root, "", "deadline_ms", "steps", "plans")
	if err != nil {
		return nil, 0, err
	}
	deadline := 0.0
	if v, ok := keys["deadline_ms"]; ok {
		if deadline, err = parseNumber(v, "", "deadline_ms", 0, maxDeadlineMs); err != nil {
			return nil, 0, err
		}
	}
	if v, ok := keys["steps"]; ok {
		if !v.IsObject() {
			return nil, 0, &MalformedPlansError{"steps", "want an object"}
		}
		v.ForEach(func(k, s gjson.Result) bool {
			if _, duplicate := p.definitions[k.Str]; duplicate {
				err = &MalformedPlansError{"steps." + k.Str, "named twice"}
			}
			p.definitions[k.Str] = s
			return err == nil
		})
		if len(p.definitions) > MaxSteps {
			err = &LimitError{"steps", "named steps", MaxSteps}
		}
		if err != nil {
			return nil, 0, err
		}
	}
	list := keys["plans"]
	if !list.IsArray() {
		return nil, 0, &MalformedPlansError{"plans", "want a list"}
	}
	var plans []Plan
	list.ForEach(func(_, v gjson.Result) bool {
		if len(plans) == MaxPlans {
			err = &LimitError{"", "plans", MaxPlans}
			return false
		}
		var plan Plan
		plan, err = p.parsePlan(v, fmt.Sprintf("plans.%d", len(plans)))
		plans = append(plans, plan)
		return err == nil
	})
	if err == nil && len(plans) == 0 {
		err = &MalformedPlansError{"plans", "no plans"}
	}
	if err == nil {
		err = p.parseUnused()
	}
	if err != nil {
		return nil, 0, err
	}
	return plans, time.Duration(deadline * float64(time.Millisecond)), nil
}

// parseUnused parses the named steps that no plan refers to, so that errors in them are reported too.
func (p *parser) parseUnused() error {
	for _, name := range sortedKeys(p.definitions) {
		p.stepCount = 0
		if _, err := p.resolve(name, "steps", 0); err != nil {
			return err
		}
	}
	return nil
}

// resolve returns a named step, which is parsed at its first reference. Its size counts at each reference.
func (p *parser) resolve(name, path string, depth int) (Step, error) {
	parsed, ok := p.parsed[name]
	if !ok {
		text, ok := p.definitions[name]
		switch {
		case !ok:
			return Step{}, &UnknownNameError{path, "step", name}
		case slices.Contains(p.resolving, name):
			return Step{}, &CycleError{path, name}
		}
		p.resolving = append(p.resolving, name)
		outerSteps, outerDepth := p.stepCount, p.depth
		p.stepCount, p.depth = 0, 0
		s, err := p.parseStep(text, "steps."+name, 1)
		if err != nil {
			return s, err
		}
		parsed = parsedStep{s, p.stepCount, p.depth}
		p.stepCount, p.depth, p.parsed[name] = outerSteps, outerDepth, parsed
		p.resolving = p.resolving[:len(p.resolving)-1]
	}
	return parsed.step, p.addSteps(path, parsed.stepCount, depth+parsed.depth)
}

func (p *parser) addSteps(path string, steps, depth int) error {
	p.stepCount += steps
	p.depth = max(p.depth, depth)
	switch {
	case p.stepCount > MaxSteps:
		return &LimitError{path, "steps in a plan", MaxSteps}
	case depth > MaxDepth:
		return &LimitError{path, "steps one inside the other", MaxDepth}
	}
	return nil
}

func (p *parser) parsePlan(v gjson.Result, path string) (Plan, error) {
	plan := Plan{Left: -1}
	keys, err := objectFields(v, path, "name", "limit", "left", "root")
	if err != nil {
		return plan, err
	}
	name := keys["name"]
	if name.Type != gjson.String || name.Str == "" || len(name.Str) > 256 {
		return plan, &MalformedPlansError{path, "name: want 1 to 256 letters"}
	}
	plan.Name = name.Str
	if l, ok := keys["limit"]; ok {
		if l.Type != gjson.String {
			return plan, &MalformedPlansError{path, "limit: want a name"}
		}
		plan.Limit = l.Str
	}
	if l, ok := keys["left"]; ok {
		if plan.Left, err = parseNumber(l, path, "left", 0, maxUnits); err != nil {
			return plan, err
		}
	}
	root, ok := keys["root"]
	if !ok {
		return plan, &MalformedPlansError{path, "no root"}
	}
	p.stepCount = 0
	plan.Root, err = p.parseStep(root, path+".root", 1)
	return plan, err
}

func (p *parser) parseStep(v gjson.Result, path string, depth int) (Step, error) {
	keys, err := objectFields(v, path, "work", "then", "all", "any", "of", "ref")
	if err != nil {
		return Step{}, err
	}
	if len(keys) != 1 {
		return Step{}, &MalformedPlansError{path, "want one of work, then, all, any, of, ref"}
	}
	kind := sortedKeys(keys)[0]
	body := keys[kind]
	if kind == "ref" { // does not count as a step
		if body.Type != gjson.String {
			return Step{}, &MalformedPlansError{path, "ref: want a name"}
		}
		return p.resolve(body.Str, path, depth-1)
	}
	if err := p.addSteps(path, 1, depth); err != nil {
		return Step{}, err
	}
	switch kind {
	case "work":
		w, err := parseWork(body, path+".work")
		return Step{Work: w}, err
	case "of":
		quorum, err := objectFields(body, path+".of", "k", "steps")
		if err != nil {
			return Step{}, err
		}
		list, err := p.parseSteps(quorum["steps"], path+".of", depth)
		if err != nil {
			return Step{}, err
		}
		if len(list) > MaxQuorumSteps {
			return Step{}, &LimitError{path, "steps of one of", MaxQuorumSteps}
		}
		k, err := parseInteger(quorum["k"], path, "of.k", 1, len(list))
		return Step{Of: &Quorum{K: k, Steps: list}}, err
	}
	list, err := p.parseSteps(body, path+"."+kind, depth)
	switch kind {
	case "then":
		return Step{Then: list}, err
	case "all":
		return Step{All: list}, err
	}
	return Step{Any: list}, err
}

func (p *parser) parseSteps(v gjson.Result, path string, depth int) (list []Step, err error) {
	if !v.IsArray() {
		return nil, &MalformedPlansError{path, "want a list of steps"}
	}
	v.ForEach(func(_, s gjson.Result) bool {
		var next Step
		next, err = p.parseStep(s, fmt.Sprintf("%s.%d", path, len(list)), depth+1)
		list = append(list, next)
		return err == nil
	})
	if err == nil && len(list) == 0 {
		err = &MalformedPlansError{path, "no steps"}
	}
	return list, err
}

func parseWork(v gjson.Result, path string) (*Work, error) {
	keys, err := objectFields(v, path, "shard", "class", "units", "node")
	if err != nil {
		return nil, err
	}
	w := &Work{}
	if w.Shard, err = parseInteger(keys["shard"], path, "shard", 0, 1<<20); err != nil {
		return nil, err
	}
	if w.Units, err = parseNumber(keys["units"], path, "units", math.SmallestNonzeroFloat64, maxUnits); err != nil {
		return nil, err
	}
	class, node := keys["class"], keys["node"]
	if class.Type != gjson.String || class.Str == "" {
		return nil, &MalformedPlansError{path, "class: want a name"}
	}
	if node.Exists() && (node.Type != gjson.String || node.Str == "") {
		return nil, &MalformedPlansError{path, "node: want a name"}
	}
	w.Class, w.Node = class.Str, node.Str
	return w, nil
}

// objectFields returns the members of an object. Unknown and repeated keys are errors.
func objectFields(v gjson.Result, path string, allowed ...string) (map[string]gjson.Result, error) {
	if !v.IsObject() {
		return nil, &MalformedPlansError{path, "want an object"}
	}
	members := make(map[string]gjson.Result, len(allowed))
	var err error
	v.ForEach(func(k, m gjson.Result) bool {
		if _, duplicate := members[k.Str]; duplicate || !slices.Contains(allowed, k.Str) {
			err = &MalformedPlansError{path, fmt.Sprintf("key %q is not known here, or stands twice", k.Str)}
		}
		members[k.Str] = m
		return err == nil
	})
	return members, err
}

func parseNumber(v gjson.Result, path, key string, minValue, maxValue float64) (float64, error) {
	if v.Type != gjson.Number {
		return 0, &MalformedPlansError{path, key + ": want a number"}
	}
	if !(v.Num >= minValue && v.Num <= maxValue) {
		return 0, &ValueError{path, key, v.Num, formatRange(minValue, maxValue)}
	}
	return v.Num, nil
}

func parseInteger(v gjson.Result, path, key string, minValue, maxValue int) (int, error) {
	n, err := parseNumber(v, path, key, float64(minValue), float64(maxValue))
	if err == nil && n != math.Trunc(n) {
		err = &ValueError{path, key, n, "a whole number"}
	}
	return int(n), err
}
