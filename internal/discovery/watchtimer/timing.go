package watchtimer

import "time"

// RetryInterval returns the interval between calls to an agent that does not answer.
func (t *Timer) RetryInterval() time.Duration {
	return min(max(t.settings.DrainGrace/drainGraceDivisor, minRetryInterval), maxRetryInterval)
}

// silentCallBound returns the time, counted from the last message of a silent call, within which a change that the call
// missed must be received.
func (t *Timer) silentCallBound() time.Duration {
	if t.settings.LongPollWait > 0 {
		return max(t.settings.StalenessBound, t.settings.LongPollWait+longPollSlack)
	}
	return t.settings.StalenessBound
}

// answerReserve returns the part of the staleness bound that is reserved for the answer to a call.
func (t *Timer) answerReserve() time.Duration {
	return min(maxAnswerReserve, t.settings.StalenessBound/reserveDivisor)
}

// repeatReserve returns the part of the staleness bound that is reserved for the answer to the repeated call.
func (t *Timer) repeatReserve() time.Duration {
	return min(maxRepeatReserve, t.settings.StalenessBound/reserveDivisor)
}

// silenceTimeout returns how long an answered call may go without a message.
func (t *Timer) silenceTimeout() time.Duration {
	if t.settings.Pushed {
		return max(HeartbeatInterval, t.settings.LongPollWait) + pushedHeartbeatSlack
	}
	return max(HeartbeatInterval, t.settings.LongPollWait) + pulledHeartbeatSlack
}

// responseTimeout returns how long a call may go without its first message.
func (t *Timer) responseTimeout() time.Duration {
	return min(ResponseTimeout, t.settings.StalenessBound/2) + t.settings.LongPollWait
}

// randomBetween returns a uniformly distributed duration from the interval.
func (t *Timer) randomBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(t.rng.Float64()*float64(to-from))
}

// pacedDeadline returns the time at which an externally paced timer opens a call without RequestDue. After the first call
// the time is random, because a fleet that started at the same instant would otherwise repeat its calls at the same instant.
func (t *Timer) pacedDeadline() time.Duration {
	last := t.lastMessage + t.settings.StalenessBound - t.answerReserve()
	if t.lastCallID == 0 {
		return max(last, t.now)
	}
	if remaining := last - t.now; remaining > minBackoff {
		return min(t.openDeadline, last-t.randomBetween(0, min(remaining, t.answerReserve())))
	}
	return t.openDeadline
}

// backoff returns a random wait before the next call and doubles the mean of the wait after it. wasLive reports whether the
// call that ended or fell silent had been answered. If so, the staleness bound counts from the last message.
//
// A wait that could exceed the bound is drawn from the remaining time instead of being cut to it. Cutting would repeat all
// calls that ended at the same instant at the same instant again. The first wait of a series is drawn from the end of the
// remaining time, so that the service has finished with the failed calls by then. This part of the remaining time is long
// enough to keep the fleet at FleetCallsPerSecond. Later waits are as long as permitted, which keeps the calls spread.
func (t *Timer) backoff(wasLive bool) time.Duration {
	mean := max(minBackoff, 2*time.Duration(t.settings.Schedulers)*time.Second/FleetCallsPerSecond) * time.Duration(t.backoffFactor)
	low, high := time.Duration((1-jitterFraction)*float64(mean)), time.Duration((1+jitterFraction)*float64(mean))
	remaining := t.openDeadline - t.now
	if wasLive {
		remaining = t.lastMessage + t.silentCallBound() - t.answerReserve() - t.now
	}
	if remaining = max(remaining, 0); high > remaining {
		low, high = min(low, remaining), remaining
		if t.backoffFactor == 1 {
			low = max(remaining-mean/2, 0)
		}
	}
	t.backoffFactor = min(2*t.backoffFactor, MaxBackoffFactor)
	return t.randomBetween(low, high)
}
