package cost

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"wheatsaddle/internal/nodestats"
)

const (
	cvPriorWeight       = 20.0 // answers at which a node's own coefficient of variation counts as much as its type's
	unservedPriorWeight = 20.0 // attempts at which a node's own failure rate counts as much as its type's
	minMillis           = 1e-6
	minAnswers          = 1e-9
	maxMean             = 1e9  // of the units and the milliseconds of a view
	minScatter          = 1e-9 // relative scatter of the units below which no slope is estimated
	maxCV               = 10.0
)

// nodeModel models the time of a step in one class at one node: a linear function of the units, with a coefficient of
// variation.
type nodeModel struct {
	baseUnits, baseMillis, slope float64 // time at the class's mean units, and increase per unit
	cv                           float64 // coefficient of variation of one answer
	baseVariance, slopeVariance  float64 // of the estimates of baseMillis and slope
	queuePerSlot                 float64 // queued requests for each slot of the window
	served, answers, ownShare    float64 // probability of being served; decayed number of answers; weight of the node's own mean
	origins                      int
	age                          time.Duration
	basisLevel                   Level
	warmingUp                    bool
	typ                          int
	window                       float64
}

// setLoad sets the state of a node. By Little's law, a request waits for the length of the queue divided by the
// window, in service times.
func (m *nodeModel) setLoad(warmingUp bool, window, queue float64) {
	m.warmingUp, m.window, m.queuePerSlot = warmingUp, window, queue/max(window, 1)
}

// meanMillis returns the mean service time of a step, without queueing.
func (m *nodeModel) meanMillis(units float64) float64 {
	return max(m.baseMillis+m.slope*(units-m.baseUnits), minMillis)
}

// nodeMean is one node's own mean of a coefficient of the linear model (slope or base time), and its weight.
type nodeMean struct {
	typ          int
	weight, mean float64
}

// credibilityModel shrinks one coefficient of the linear model from the nodes' own means towards the means of type and
// fleet. It uses the weights of Bühlmann and Straub in the two levels of Jewell.
type credibilityModel struct {
	answerVariance float64 // s2: of single answers
	nodeVariance   float64 // a: of the nodes of a type
	typeVariance   float64 // tau: of types
	fleetMean      float64
	byType         []typeMean
}

// typeMean is the mean over the nodes of a type, with its weight and its credibility against the fleet's mean.
type typeMean struct{ mean, credibility, weight float64 }

// fitCredibility estimates the variances and means from the means of nodes. The coefficients of variation between nodes
// and between types are at least minCV, and at least defaultCV where there are too few to estimate the variance.
func fitCredibility(nodeMeans []nodeMean, types int, answerVariance, minCV, defaultCV float64) credibilityModel {
	model := credibilityModel{answerVariance: answerVariance, byType: make([]typeMean, types)}
	typeWeights := make([]float64, types) // weights and means by type, before any shrinkage
	typeSums := make([]float64, types)
	typeCounts := make([]int, types)
	squaredWeights := make([]float64, types)
	var totalWeight, overallMean float64
	for _, node := range nodeMeans {
		typeWeights[node.typ] += node.weight
		typeSums[node.typ] += node.weight * node.mean
		squaredWeights[node.typ] += node.weight * node.weight
		typeCounts[node.typ]++
		totalWeight, overallMean = totalWeight+node.weight, overallMean+node.weight*node.mean
	}
	if totalWeight > 0 {
		overallMean /= totalWeight
	}
	var numerator, denominator float64
	for _, node := range nodeMeans {
		if typeCounts[node.typ] > 1 && typeWeights[node.typ] > 0 {
			deviation := node.mean - typeSums[node.typ]/typeWeights[node.typ]
			numerator += node.weight * deviation * deviation
		}
	}
	for t := range types {
		if typeCounts[t] > 1 && typeWeights[t] > 0 {
			numerator -= float64(typeCounts[t]-1) * answerVariance
			denominator += typeWeights[t] - squaredWeights[t]/typeWeights[t]
		}
	}
	model.nodeVariance = boundedVariance(numerator, denominator, overallMean, minCV, defaultCV)
	var credibilitySum, credibilitySquares, meanOfTypes float64
	typesSeen := 0
	for _, node := range nodeMeans {
		credibility := credibilityFactor(node.weight, answerVariance, model.nodeVariance)
		model.byType[node.typ].weight += credibility
		model.byType[node.typ].mean += credibility * node.mean
	}
	for t := range model.byType {
		if group := &model.byType[t]; group.weight > 0 {
			group.mean /= group.weight
			credibilitySum, credibilitySquares, meanOfTypes = credibilitySum+group.weight, credibilitySquares+group.weight*group.weight, meanOfTypes+group.weight*group.mean
			typesSeen++
		}
	}
	if credibilitySum > 0 {
		meanOfTypes /= credibilitySum
	}
	numerator, denominator = 0, 0
	if typesSeen > 1 {
		for _, group := range model.byType {
			numerator += group.weight * (group.mean - meanOfTypes) * (group.mean - meanOfTypes)
		}
		numerator -= float64(typesSeen-1) * model.nodeVariance
		denominator = credibilitySum - credibilitySquares/credibilitySum
	}
	model.typeVariance = boundedVariance(numerator, denominator, meanOfTypes, minCV, defaultCV)
	credibilitySum = 0
	for t := range model.byType {
		group := &model.byType[t]
		group.credibility = credibilityFactor(group.weight, model.nodeVariance, model.typeVariance)
		credibilitySum += group.credibility
		model.fleetMean += group.credibility * group.mean
	}
	if credibilitySum > 0 {
		model.fleetMean /= credibilitySum
	}
	return model
}

// boundedVariance returns the estimate numerator/denominator of a variance, with a lower bound from minCV. Without a
// positive denominator it returns the variance by defaultCV.
func boundedVariance(numerator, denominator, mean, minCV, defaultCV float64) float64 {
	floor := max(minCV*math.Abs(mean), minMillis)
	if denominator <= 0 {
		return max(defaultCV*defaultCV*mean*mean, floor*floor)
	}
	return max(numerator/denominator, floor*floor)
}

// credibilityFactor returns the weight w/(w+k) of a mean with the evidence w against its prior, with k = within/between.
func credibilityFactor(evidence, within, between float64) float64 {
	if evidence <= 0 {
		return 0
	}
	return evidence * between / (evidence*between + within)
}

// estimate returns the credibility estimate of one node, the weight of its own mean in it, and its variance.
func (m *credibilityModel) estimate(node nodeMean) (mean, credibility, variance float64) {
	group := m.byType[node.typ]
	credibility = credibilityFactor(node.weight, m.answerVariance, m.nodeVariance)
	prior := group.credibility*group.mean + (1-group.credibility)*m.fleetMean
	mean = credibility*node.mean + (1-credibility)*prior
	return mean, credibility, m.nodeVariance*(1-credibility) + (1-credibility)*(1-credibility)*m.typeVariance*(1-group.credibility)
}

// nodeSample is a view with its means and its sums of squares and products about the means.
type nodeSample struct {
	view            *nodestats.View
	typ             int
	n, meanX, meanY float64
	sxx, sxy, syy   float64
}

func newNodeSample(v *nodestats.View, typ int) nodeSample {
	s := v.Sums
	sample := nodeSample{view: v, typ: typ, n: s.N}
	if s.N <= 0 {
		return sample
	}
	sample.meanX, sample.meanY = s.X/s.N, s.Y/s.N
	sample.sxx, sample.sxy, sample.syy = max(s.XX-s.X*sample.meanX, 0), s.XY-s.X*sample.meanY, max(s.YY-s.Y*sample.meanY, 0)
	if sample.sxx < minScatter*max(s.XX, 1) {
		sample.sxx, sample.sxy = 0, 0
	}
	if limit := math.Sqrt(sample.sxx * sample.syy); math.Abs(sample.sxy) > limit {
		sample.sxy = math.Copysign(limit, sample.sxy)
	}
	return sample
}

// fitModels fits the models of one class: one for each sample, and one for nodes of each type without answers.
func fitModels(settings Settings, samples []nodeSample, types int) (models []nodeModel, typeModels []nodeModel) {
	var answers, unitSum, residuals, degreesOfFreedom float64
	nodeMeans := make([]nodeMean, 0, len(samples))
	for _, sample := range samples {
		answers, unitSum = answers+sample.n, unitSum+sample.n*sample.meanX
		if sample.sxx > 0 && sample.n > 2 {
			residuals += max(sample.syy-sample.sxy*sample.sxy/sample.sxx, 0)
			degreesOfFreedom += sample.n - 2
			nodeMeans = append(nodeMeans, nodeMean{sample.typ, sample.sxx, sample.sxy / sample.sxx})
		}
	}
	baseUnits, prior := 0.0, settings.Prior
	if answers > 0 {
		baseUnits = unitSum / answers
	}
	slopes := fitCredibility(nodeMeans, types, ratio(residuals, degreesOfFreedom), prior.MinCV, prior.CV)
	if len(nodeMeans) == 0 {
		slopes = priorCredibility(prior.MillisPerUnit, types, prior)
	}
	estimateSlope := func(sample nodeSample) (float64, float64) {
		own := nodeMean{typ: sample.typ}
		if sample.sxx > 0 && sample.n > 2 {
			own.weight, own.mean = sample.sxx, sample.sxy/sample.sxx
		}
		slope, _, variance := slopes.estimate(own)
		return slope, variance
	}
	residuals, degreesOfFreedom, nodeMeans = 0, 0, nodeMeans[:0]
	for _, sample := range samples {
		if sample.n <= 0 {
			continue
		}
		slope, _ := estimateSlope(sample)
		if sample.n > 1 {
			residuals += max(sample.syy-2*slope*sample.sxy+slope*slope*sample.sxx, 0)
			degreesOfFreedom += sample.n - 1
		}
		nodeMeans = append(nodeMeans, nodeMean{sample.typ, sample.n, sample.meanY + slope*(baseUnits-sample.meanX)})
	}
	answerVariance := ratio(residuals, degreesOfFreedom)
	if degreesOfFreedom <= 0 && answers > 0 {
		meanMillis := 0.0
		for _, sample := range samples {
			meanMillis += sample.n * sample.meanY / answers
		}
		answerVariance = prior.CV * prior.CV * meanMillis * meanMillis
	}
	baseTimes := fitCredibility(nodeMeans, types, answerVariance, prior.MinCV, prior.CV)
	if len(nodeMeans) == 0 {
		baseTimes = priorCredibility(prior.BaseMillis+prior.MillisPerUnit*baseUnits, types, prior)
	}
	estimateCV := cvEstimator(settings, samples, types, estimateSlope)
	estimateServed := servedEstimator(settings, samples, types)
	defaultLevel := FromFleet
	if len(nodeMeans) == 0 {
		defaultLevel = FromSettings
	}
	newModel := func(sample nodeSample) nodeModel {
		model := nodeModel{baseUnits: baseUnits, typ: sample.typ, basisLevel: defaultLevel, cv: estimateCV(sample), served: estimateServed(sample), answers: sample.n}
		own := nodeMean{typ: sample.typ}
		slope, slopeVariance := estimateSlope(sample)
		if sample.n > 0 {
			own.weight, own.mean = sample.n, sample.meanY+slope*(baseUnits-sample.meanX)
		}
		model.baseMillis, model.ownShare, model.baseVariance = baseTimes.estimate(own)
		model.baseMillis = max(model.baseMillis, minMillis)
		model.slope, model.slopeVariance = max(slope, 0), slopeVariance
		if baseUnits > 0 {
			model.slope = min(model.slope, model.baseMillis/baseUnits)
		}
		switch g := baseTimes.byType[sample.typ]; {
		case defaultLevel == FromSettings:
		case model.ownShare >= 0.5:
			model.basisLevel = FromNode
		case g.credibility >= 0.5:
			model.basisLevel = FromType
		}
		if v := sample.view; v != nil {
			model.origins, model.age = v.Origins, v.Age
			model.setLoad(v.WarmingUp, v.Window, v.Queue)
		}
		return model
	}
	for _, sample := range samples {
		models = append(models, newModel(sample))
	}
	for t := range types {
		typeModels = append(typeModels, newModel(nodeSample{typ: t}))
	}
	return models, typeModels
}

// ratio returns a/b, or 0 if b is not positive.
func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// priorCredibility returns the model that applies before any answers.
func priorCredibility(mean float64, types int, p Prior) credibilityModel {
	v := max(p.CV*mean, minMillis)
	return credibilityModel{nodeVariance: v * v, typeVariance: v * v, fleetMean: mean, byType: make([]typeMean, types)}
}

// cvEstimator returns a function that estimates the coefficient of variation of one answer. It pools the squared
// coefficients, weighted by their degrees of freedom.
func cvEstimator(settings Settings, samples []nodeSample, types int, estimateSlope func(nodeSample) (float64, float64)) func(nodeSample) float64 {
	squaredCV := func(sample nodeSample) (float64, float64) {
		slope, _ := estimateSlope(sample)
		meanSquare := sample.meanY*sample.meanY + slope*slope*ratio(sample.sxx, sample.n)
		if sample.n <= 1 || meanSquare <= 0 {
			return 0, 0
		}
		return max(sample.syy-2*slope*sample.sxy+slope*slope*sample.sxx, 0) / (sample.n - 1) / meanSquare, sample.n - 1
	}
	sum, degreesOfFreedom := make([]float64, types), make([]float64, types)
	var total, n float64
	for _, sample := range samples {
		squared, degrees := squaredCV(sample)
		sum[sample.typ] += squared * degrees
		degreesOfFreedom[sample.typ] += degrees
		total, n = total+squared*degrees, n+degrees
	}
	shrink := func(observed, degrees, prior float64) float64 {
		return (observed*degrees + prior*cvPriorWeight) / (degrees + cvPriorWeight)
	}
	fleetSquaredCV := shrink(ratio(total, n), n, settings.Prior.CV*settings.Prior.CV)
	return func(sample nodeSample) float64 {
		squared, degrees := squaredCV(sample)
		typeSquaredCV := shrink(ratio(sum[sample.typ], degreesOfFreedom[sample.typ]), degreesOfFreedom[sample.typ], fleetSquaredCV)
		return min(math.Sqrt(shrink(squared, degrees, typeSquaredCV)), maxCV)
	}
}

// servedEstimator returns a function that estimates the probability that a step is served. It pools the numbers of
// unserved attempts.
func servedEstimator(settings Settings, samples []nodeSample, types int) func(nodeSample) float64 {
	count := func(sample nodeSample) (float64, float64) {
		if sample.view == nil {
			return 0, 0
		}
		unserved := sample.view.Rejected + sample.view.Failed + sample.view.TimedOut // not included in the sums
		return unserved, unserved + sample.n
	}
	unserved, attempts := make([]float64, types), make([]float64, types)
	var fleetUnserved, fleetAttempts float64
	for _, sample := range samples {
		failures, n := count(sample)
		unserved[sample.typ] += failures
		attempts[sample.typ] += n
		fleetUnserved, fleetAttempts = fleetUnserved+failures, fleetAttempts+n
	}
	shrink := func(failures, n, prior float64) float64 {
		return (failures + unservedPriorWeight*prior) / (n + unservedPriorWeight)
	}
	fleetRate := shrink(fleetUnserved, fleetAttempts, settings.Prior.FailureRate)
	return func(sample nodeSample) float64 {
		failures, n := count(sample)
		return 1 - min(max(shrink(failures, n, shrink(unserved[sample.typ], attempts[sample.typ], fleetRate)), 0), 1)
	}
}

// plausible reports whether the values of a view are valid.
func plausible(v *nodestats.View) bool {
	s := v.Sums
	for _, f := range [...]float64{s.N, s.X, s.Y, s.XX, s.XY, s.YY, v.Rejected, v.Failed, v.TimedOut, v.Window, v.Queue} {
		if !finite(f) || f < 0 {
			return false
		}
	}
	if s.N > 0 && (s.N < minAnswers || s.X > maxMean*s.N || s.Y > maxMean*s.N) {
		return false
	}
	return v.Node != "" && v.Origins >= 0 && v.Age >= 0 && v.Shard >= 0
}

// compareViews orders views by key, and views with the same key by all other fields, so that the result does not
// depend on the order of the input. Of several views with the same key, latestViews selects the last in this order.
func compareViews(a, b nodestats.View) int {
	s, t := a.Sums, b.Sums
	return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Node, b.Node), cmp.Compare(a.StartTime, b.StartTime),
		cmp.Compare(s.N, t.N), cmp.Compare(s.X, t.X), cmp.Compare(s.Y, t.Y), cmp.Compare(s.XX, t.XX), cmp.Compare(s.XY, t.XY),
		cmp.Compare(s.YY, t.YY), cmp.Compare(a.Rejected, b.Rejected), cmp.Compare(a.Failed, b.Failed), cmp.Compare(a.TimedOut, b.TimedOut), cmp.Compare(a.Window, b.Window),
		cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Origins, b.Origins), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Shard, b.Shard),
		strings.Compare(a.Type, b.Type))
}

// latestViews selects the plausible views of each node's latest start time, one for each class, and at most maxViews.
func latestViews(views []nodestats.View, maxViews int) (selected []nodestats.View, dropped int) {
	for i := range views {
		if plausible(&views[i]) {
			selected = append(selected, views[i])
		}
	}
	slices.SortStableFunc(selected, compareViews)
	startTimes := map[string]int64{}
	for _, v := range selected {
		if latest, known := startTimes[v.Node]; !known || v.StartTime > latest {
			startTimes[v.Node] = v.StartTime
		}
	}
	n := 0
	for i := range selected {
		if selected[i].StartTime < startTimes[selected[i].Node] {
			continue
		}
		if i+1 < len(selected) && selected[i].Class == selected[i+1].Class && selected[i].Node == selected[i+1].Node {
			continue
		}
		selected[n] = selected[i]
		n++
	}
	return selected[:min(n, maxViews)], len(views) - min(n, maxViews)
}
