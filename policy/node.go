package policy

type node struct {
	Node
	window             float64
	inFlight           []*request // in order of sending
	inFlightUnits      float64    // out
	typicalLatency     float64    // latency, as of late
	latencyLearnedAt   float64    // when that was last learnt
	nextSendAt         float64    // no sends before
	peakInFlight       int        // most out in this window epoch
	epochStartAt       float64    // start of it
	epochLatency       float64    // of this window epoch
	epochUnits         float64
	epochAnswers       int
	bestLatencyPerUnit float64
	windowFilled       bool
	failureRate        float64 // share of attempts that fail
	lastHeardAt        float64 // last word of any kind from it
	silent             bool
	silentSince        float64 // since when
	answerCount        float64 // since it is known
	backoff            float64
	slotStartAt        float64      // in slow start: its slot is counted from here ...
	slotFactor         float64      // ... and comes after this part of the time that a slot of each host takes
	lastAnswerTimely   bool         // its last answer came in good time, and nothing was sent since
	startedAt          float64      // start that it may be cold from
	drainingSince      float64      // when this host was told that it drains
	recentSent         []timedUnits // sends and answers within OverloadWindow
	recentServed       []timedUnits
}
