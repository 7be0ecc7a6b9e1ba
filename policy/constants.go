package policy

// Constants. Times in milliseconds.
const (
	tickIntervalMs          = 500.0  // adaptation tick: a few answers of each class per host
	ticksPerAdaptation      = 2      // ticks between adaptations: enough samples to mean something
	maxAdaptIntervalMs      = 4000.0 // longest adaptation interval after a commit: loads shift within it
	alpha                   = 0.5    // weight of the past in a class's delay
	beta                    = 0.8    // share of a donation that is committed
	epsilon                 = 0.1    // band around the aim in which a class is balanced
	minSlope                = 1.0    // least slope: delay that does not move with share is not free
	rejectedDelayObjectives = 2.0    // what is refused counts at this many aims at least: it was not served
	minClassWeight          = 0.05   // least share: a class must keep a sample flow

	initialWindow         = 4.0    // the design's start
	minWindow             = 2.0    // one served and one on its way
	maxWindow             = 32.0   // the design's ceiling
	minFleetWindow        = 4.0    // crowded: all hosts together keep this; below one, a host rests between its sends
	nodeLatencyShare      = 0.5    // a node's latency may take this part of the tightest aim; the rest is for waiting
	staleNodeLatencyShare = 0.3    // of its aim: the latency at a node unheard of at which a request leaves it
	staleLatencyMs        = 10e3   // a node not heard of for this long counts as such: past any pause of its own
	maxEpochMs            = 1000.0 // ... and a lone answer after this long ends an epoch: sparse hosts must act too
	maxSendGapMs          = 1000.0 // longest rest between sends: past a node's own changes
	minEpochAnswers       = 6      // least answers between window steps: single sizes are noise
	minLatencyShareLeft   = 0.6    // not sent with less than this of the usual latency left to its aim
	maxClassFactor        = 2.0    // a class's weight moves its bands' rooms by this factor at most
	widenRatio            = 1.5    // latency per unit within this of the best widens: sizes alone scatter as much
	halveRatio            = 2.0    // past this multiple of the best the window halves
	bestLatencyFallGain   = 0.3    // how fast the best follows a lower figure ...
	bestLatencyRiseGain   = 0.02   // ... and a higher one: slow, or load would pass for the norm

	sweepIntervalMs        = 10.0   // how often waiting requests are reviewed: well inside any aim
	heartbeatIntervalMs    = 100.0  // a timer that tells this host's own stalls ...
	maxTimerLagMs          = 100.0  // ... past due by this: more than a busy step takes
	drainingUseShare       = 0.5    // a node that drains is used for this part of the grace ...
	drainingReserveMs      = 500.0  // ... less what is kept for delays: of the list's word, of a host's stall
	idleEvictionMs         = 60e3   // a volume or key not seen for this long is forgotten: past any deadline and rest
	deadlineMarginMs       = 4.0    // a waiting request is answered this long before its client leaves
	usageWindowMs          = 1000.0 // memory of a volume's use: entitlement is counted by the second
	clientRetryLevel       = 1e9    // level that puts clients' further tries after first ones
	maxFairUsageRatio      = 2.0    // use past this multiple of the mean asker's is spare
	minSilenceMs           = 1200.0 // no answer for this long, with work out: silent; past any usual pause
	silenceLatencyMultiple = 6.0    // ... or for this multiple of the usual latency, if longer
	minNodeStallMs         = 300.0  // ... and this long: stalled, no slope is refitted across it
	minOvertakingAnswers   = 3.0    // answers to later attempts that make one lost: past most slots' scatter
	lostLatencyMultiple    = 4.0    // ... once it is out for this multiple of the usual latency ...
	minLostAgeMs           = 50.0   // ... and for this long: small figures scatter more
	stuckLatencyMultiple   = 2.0    // past its aim and out for this multiple of the pool's latency: called off
	minBackoffMs           = 50.0   // rest after a node proved not to take work ...
	maxBackoffMs           = 500.0  // ... doubling to this, so that its return is soon seen
	highFailureRate        = 0.15   // failing share past which new objects go elsewhere
	latencyDecayMs         = 2e3    // what a node showed fades to the pool's figure over this: troubles pass
	latencyFreshMs         = 2e3    // ... and a latency this old yields most of its weight to a new one
	minLatencyGain         = 0.1    // weight of one answer in a node's usual latency: some ten answers
	failureRateGain        = 0.1    // weight of one outcome in the failing share
	slowStartOverloadShare = 0.5    // share of the tipping multiple used over what a cold node has shown
	minSlowStartShare      = 0.1    // ... growing to a tenfold at most as it warms
	shardReadWindowMs      = 20e3   // a shard that no read named for this long is not this host's work
	newShardFleetShare     = 0.75   // of what a cold node bears: allowed to all hosts, if new to its shard
	smallFleet             = 30     // fewer hosts than this may have ...
	smallFleetSlackFactor  = 2.5    // ... this much more of the slack for chance
	answeredGrowthFactor   = 2.0    // of what the shard answered a host: allowed by its node's present capacity
	popularShardDivisor    = 1.5    // at least this part of all hosts is taken to read a shard: some do, of some
	restartSuspectMs       = 3000.0 // a node back from this much silence may have restarted
	logIntervalMs          = 1000.0 // a log line a second at most
	minPollBackoffMs       = 300.0  // first wait before asking the list again, doubling ...
	maxPollBackoffMs       = 4000.0 // ... to this: well inside any ask-within
)

// bandLatencyLimit is the latency of a node, in tightest aims, at which a band leaves it to the
// reserves of hosts unseen. Harm: one slow answer sends work off until the figure heals.
var bandLatencyLimit = [...]float64{bandReserved: 1e9, bandFairShare: 0.65, bandBurst: 0.35, bandLate: 0.3}

// Bands order the requests of one class queue by what a unit still earns.
const (
	bandReserved = iota
	bandFairShare
	bandBurst
	bandLate
)
