package cost

import "math"

// The distribution of a time is represented by its first three cumulants and by its quantiles at fixed probabilities.
// These are evenly spaced in the logit, so that they are dense enough in the tail for the maximum of 1,024 times.
const (
	numLevels  = 41
	levelStep  = 0.5
	maxLogit   = levelStep * (numLevels - 1) / 2
	numShapes  = 64  // rows of shapeTable, apart from the first one
	maxShapeCV = 3.0 // coefficient of variation of the last row
	maxLog     = 700.0
)

var (
	levelProbabilities, logCDF, logSurvival, levelWeights [numLevels]float64
	// shapeTable holds the quantiles of standardized lognormal distributions (mean 0, standard deviation 1). The rows are
	// evenly spaced in the coefficient of variation of the lognormal that starts at 0. Sums and queueing times are
	// approximated by a shifted lognormal of the same skewness.
	shapeTable [numShapes + 1][numLevels]float64
)

func init() {
	for j := range numLevels {
		z := -maxLogit + levelStep*float64(j)
		levelProbabilities[j] = 1 / (1 + math.Exp(-z))
		logCDF[j], logSurvival[j] = -math.Log1p(math.Exp(-z)), -math.Log1p(math.Exp(z))
	}
	for j := range numLevels {
		low, high := 0.0, 1.0
		if j > 0 {
			low = (levelProbabilities[j-1] + levelProbabilities[j]) / 2
		}
		if j < numLevels-1 {
			high = (levelProbabilities[j] + levelProbabilities[j+1]) / 2
		}
		levelWeights[j] = high - low
	}
	for r := range numShapes + 1 {
		c := maxShapeCV * float64(r) / numShapes
		s := math.Sqrt(math.Log1p(c * c))
		for j, p := range levelProbabilities {
			z := math.Sqrt2 * math.Erfinv(2*p-1)
			if j > numLevels/2 { // 2p-1 loses all precision near 1
				z = math.Sqrt2 * math.Erfcinv(2*levelProbabilities[numLevels-1-j])
			}
			if r == 0 {
				shapeTable[r][j] = z
			} else {
				shapeTable[r][j] = math.Expm1(s*z-s*s/2) / c
			}
		}
	}
}

// distribution is the distribution of the time until a step ends.
type distribution struct {
	mean, variance, thirdCumulant float64 // cumulants, without the error of the estimate
	standardErr                   float64 // of the mean; errors of sequential steps add up
	served                        float64 // probability
	hasQuantiles                  bool
	quantiles                     [numLevels]float64 // include the error of the estimate
}

// zeroTime returns the distribution of a step that ends at once and is always served.
func zeroTime() distribution { return distribution{served: 1} }

// add appends a sequential step. The cumulants of independent times add up. The standard errors add up too, since
// both may come from the same model and are then not independent.
func (d *distribution) add(o *distribution) {
	d.mean += o.mean
	d.variance += o.variance
	d.thirdCumulant += o.thirdCumulant
	d.standardErr += o.standardErr
	d.served *= o.served
	d.hasQuantiles = false
}

// computeQuantiles sets the quantiles to those of the shifted lognormal that has the cumulants.
func (d *distribution) computeQuantiles() {
	if d.hasQuantiles {
		return
	}
	d.hasQuantiles = true
	variance := d.variance + d.standardErr*d.standardErr
	deviation := math.Sqrt(variance)
	cv := 0.0
	if variance > 0 {
		cv = cvOfSkewness(max(d.thirdCumulant/(variance*deviation), 0))
	}
	position := min(cv/maxShapeCV, 1) * numShapes
	row := min(int(position), numShapes-1)
	fraction := position - float64(row)
	low, high := &shapeTable[row], &shapeTable[row+1]
	lowScale, highScale, mean := deviation*(1-fraction), deviation*fraction, d.mean
	for j := range d.quantiles {
		q := mean + lowScale*low[j] + highScale*high[j]
		if q < 0 {
			q = 0
		}
		d.quantiles[j] = q
	}
}

// cvOfSkewness returns the coefficient of variation c of the lognormal with the given skewness, which solves
// c^3 + 3c = skewness. Two Newton iterations from a start value that is right at both ends of the table give an error
// below 1e-6. Skewness beyond the table's last row gives the last row.
func cvOfSkewness(skewness float64) float64 {
	if skewness >= maxShapeCV*(maxShapeCV*maxShapeCV+3) {
		return maxShapeCV
	}
	c := skewness / (3 + skewness/4)
	for range 2 {
		c = (2*c*c*c + skewness) / (3*c*c + 3)
	}
	return c
}

// lognormalThirdCumulant returns the third cumulant of a lognormal with a mean and a coefficient of variation.
func lognormalThirdCumulant(mean, cv float64) float64 {
	sd := cv * mean
	return sd * sd * sd * cv * (cv*cv + 3)
}

// setFromQuantiles computes the cumulants from the quantiles, without the error that the quantiles include. The mean
// is kept within its bounds.
func (d *distribution) setFromQuantiles(minMean, maxMean float64) {
	var mean, variance, thirdCumulant float64
	for j, q := range &d.quantiles {
		mean += levelWeights[j] * q
	}
	for j, q := range &d.quantiles {
		x := q - mean
		variance += levelWeights[j] * x * x
		thirdCumulant += levelWeights[j] * x * x * x
	}
	d.mean, d.hasQuantiles = min(max(mean, minMean), maxMean), true
	d.variance, d.thirdCumulant = max(variance-d.standardErr*d.standardErr, 0), max(thirdCumulant, 0)
}

// logitAt returns the logit of the probability that the step has ended by v, interpolated linearly between levels.
func (d *distribution) logitAt(v float64) float64 {
	if v < d.quantiles[0] {
		return -math.Inf(1)
	}
	j := 0
	for j < numLevels-1 && d.quantiles[j+1] <= v {
		j++
	}
	if j == numLevels-1 {
		return maxLogit
	}
	return -maxLogit + levelStep*(float64(j)+(v-d.quantiles[j])/(d.quantiles[j+1]-d.quantiles[j]))
}

// cdf returns the probability that the step has ended by v.
func (d *distribution) cdf(v float64) float64 { return 1 / (1 + math.Exp(-d.logitAt(v))) }

// quantileAt returns the quantile at the probability with the given logit.
func (d *distribution) quantileAt(logit float64) float64 {
	position := min(max((logit+maxLogit)/levelStep, 0), numLevels-1)
	j := min(int(position), numLevels-2)
	return d.quantiles[j] + (position-float64(j))*(d.quantiles[j+1]-d.quantiles[j])
}

// addTable interpolates a table, which holds a function of the levels, at each of the ascending points, and adds the
// values to sums. Below the first quantile the value is belowFirst.
func (d *distribution) addTable(points []float64, table *[numLevels]float64, belowFirst float64, sums []float64) {
	sums = sums[:len(points)]
	g := 0
	for ; g < len(points) && points[g] < d.quantiles[0]; g++ {
		sums[g] += belowFirst
	}
	for j := 0; j < numLevels-1 && g < len(points); j++ {
		next := d.quantiles[j+1]
		if points[g] >= next {
			continue
		}
		rise := (table[j+1] - table[j]) / (next - d.quantiles[j])
		start := table[j] - rise*d.quantiles[j]
		for ; g < len(points) && points[g] < next; g++ {
			sums[g] += start + rise*points[g]
		}
	}
	for ; g < len(points); g++ {
		sums[g] += table[numLevels-1]
	}
}

// quantilesFromLogits computes the quantiles of a distribution that is given by its logits at points, both ascending.
func quantilesFromLogits(points, logits []float64, q *[numLevels]float64) {
	g := 0
	for j := range q {
		z := -maxLogit + levelStep*float64(j)
		for g < len(points)-1 && logits[g] < z {
			g++
		}
		switch {
		case g == 0 || logits[g] <= z && g == len(points)-1 || logits[g] <= logits[g-1]:
			q[j] = points[g]
		default:
			f := min(max((z-logits[g-1])/(logits[g]-logits[g-1]), 0), 1)
			q[j] = points[g-1] + f*(points[g]-points[g-1])
		}
	}
}

// upperEnvelope sets q to the maximum of the distributions' quantiles at each level.
func upperEnvelope(times []distribution, q *[numLevels]float64) {
	*q = times[0].quantiles
	for i := 1; i < len(times); i++ {
		for j, v := range &times[i].quantiles {
			if v > q[j] {
				q[j] = v
			}
		}
	}
}

// lowerEnvelope sets q to the minimum of the distributions' quantiles at each level.
func lowerEnvelope(times []distribution, q *[numLevels]float64) {
	*q = times[0].quantiles
	for i := 1; i < len(times); i++ {
		for j, v := range &times[i].quantiles {
			if v < q[j] {
				q[j] = v
			}
		}
	}
}

func larger(a, b float64) float64 {
	if a > b {
		return a
	}
	return b
}

func smaller(a, b float64) float64 {
	if a < b {
		return a
	}
	return b
}

// slowest returns the distribution of the maximum of independent times: their distribution functions multiply.
func slowest(times []distribution) distribution { return extreme(times, true) }

// fastest returns the distribution of the minimum of independent times: their survival functions multiply.
func fastest(times []distribution) distribution { return extreme(times, false) }

func extreme(times []distribution, takeSlowest bool) distribution {
	if len(times) == 1 {
		times[0].computeQuantiles()
		return times[0]
	}
	var logits, envelope [numLevels]float64 // logits holds sums of log probabilities at first
	result := zeroTime()
	minMean, maxMean, noneServed := 0.0, math.Inf(1), 1.0
	for i := range times {
		one := &times[i]
		one.computeQuantiles()
		result.standardErr = max(result.standardErr, one.standardErr)
		result.served *= one.served
		noneServed *= 1 - one.served
		minMean, maxMean = max(minMean, one.mean), min(maxMean, one.mean)
	}
	if takeSlowest {
		upperEnvelope(times, &envelope)
	} else {
		lowerEnvelope(times, &envelope)
		result.served = 1 - noneServed
	}
	for i := range times {
		if takeSlowest {
			times[i].addTable(envelope[:], &logCDF, -maxLog, logits[:])
		} else {
			times[i].addTable(envelope[:], &logSurvival, 0, logits[:])
		}
	}
	running := math.Inf(-1)
	for j, l := range logits {
		l = max(min(l, -1e-300), -maxLog)
		z := l - math.Log(-math.Expm1(l))
		if !takeSlowest {
			z = -z
		}
		running = larger(running, z)
		logits[j] = running
	}
	quantilesFromLogits(envelope[:], logits[:], &result.quantiles)
	for j := range result.quantiles {
		if takeSlowest {
			result.quantiles[j] = larger(result.quantiles[j], envelope[j])
		} else {
			result.quantiles[j] = smaller(result.quantiles[j], envelope[j])
		}
	}
	if takeSlowest {
		result.setFromQuantiles(minMean, math.Inf(1))
	} else {
		result.setFromQuantiles(0, maxMean)
	}
	return result
}

// kthFastest returns the distribution of the k-th smallest of independent times. At each point it computes the
// probability that at least k of them have ended.
func kthFastest(times []distribution, k int) distribution {
	if k == len(times) {
		return slowest(times)
	}
	if k == 1 {
		return fastest(times)
	}
	var lower, upper [numLevels]float64
	result := zeroTime()
	probabilities := make([]float64, len(times))
	for i := range times {
		one := &times[i]
		one.computeQuantiles()
		result.standardErr = max(result.standardErr, one.standardErr)
		probabilities[i] = one.served
	}
	result.served = probabilityAtLeast(probabilities, k)
	lowerEnvelope(times, &lower)
	upperEnvelope(times, &upper)
	points := make([]float64, 0, numLevels+1)
	for a, b := 0, 0; a < numLevels || b < numLevels; { // every second point of both envelopes, merged
		if b >= numLevels || a < numLevels && lower[a] <= upper[b] {
			points = append(points, lower[a])
			a += 2
		} else {
			points = append(points, upper[b])
			b += 2
		}
	}
	logits := make([]float64, len(points))
	running := math.Inf(-1)
	cdfs := make([]float64, len(times)*len(points))
	for i := range times {
		times[i].addTable(points, &levelProbabilities, 0, cdfs[i*len(points):(i+1)*len(points)])
	}
	for g := range points {
		for i := range times {
			probabilities[i] = cdfs[i*len(points)+g]
		}
		p := min(max(probabilityAtLeast(probabilities, k), 1e-300), 1)
		running = larger(running, math.Log(p/max(1-p, 1e-16)))
		logits[g] = running
	}
	quantilesFromLogits(points, logits, &result.quantiles)
	first, last := fastest(times), slowest(times)
	for j := range result.quantiles {
		result.quantiles[j] = min(max(result.quantiles[j], first.quantiles[j]), last.quantiles[j])
	}
	result.setFromQuantiles(first.mean, last.mean)
	return result
}

// probabilityAtLeast returns the probability that at least k of independent events with the probabilities p occur.
func probabilityAtLeast(p []float64, k int) float64 {
	var counts [MaxQuorumSteps + 1]float64 // counts[i]: probability of i events so far; counts[k]: of k or more
	counts[0] = 1
	for _, x := range p {
		counts[k] += counts[k-1] * x
		for i := k - 1; i > 0; i-- {
			counts[i] += (counts[i-1] - counts[i]) * x
		}
		counts[0] -= counts[0] * x
	}
	return min(max(counts[k], 0), 1)
}
