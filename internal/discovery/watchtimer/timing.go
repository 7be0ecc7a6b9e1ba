package watchtimer

import "time"

// RetryInterval is the time between two calls to an agent that does not answer.
func (c *Timer) RetryInterval() time.Duration {
	return min(max(c.settings.DrainGrace/drainGraceDivisor, minRetryInterval), maxRetryInterval)
}

// silentCallBound is the time, counted from a silent call's last message, by which a change it missed must be known.
func (c *Timer) silentCallBound() time.Duration {
	if c.settings.LongPollWait > 0 {
		return max(c.settings.StalenessBound, c.settings.LongPollWait+longPollSlack)
	}
	return c.settings.StalenessBound
}

// answerReserve is the part of the staleness bound reserved for the answer to a call.
func (c *Timer) answerReserve() time.Duration {
	return min(maxAnswerReserve, c.settings.StalenessBound/reserveDivisor)
}

// repeatReserve is the part of the staleness bound reserved for the answer to the one repeat.
func (c *Timer) repeatReserve() time.Duration {
	return min(maxRepeatReserve, c.settings.StalenessBound/reserveDivisor)
}

// silenceTimeout is how long an answered call may stay without a message.
func (c *Timer) silenceTimeout() time.Duration {
	if c.settings.Pushed {
		return max(HeartbeatInterval, c.settings.LongPollWait) + pushedHeartbeatSlack
	}
	return max(HeartbeatInterval, c.settings.LongPollWait) + pulledHeartbeatSlack
}

// responseTimeout is how long a call may stay without its first message.
func (c *Timer) responseTimeout() time.Duration {
	return min(ResponseTimeout, c.settings.StalenessBound/2) + c.settings.LongPollWait
}

// randomBetween draws a time evenly from the interval.
func (c *Timer) randomBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(c.rng.Float64()*float64(to-from))
}

// pacedDeadline is when an externally paced timer opens a call without RequestDue. After the first call the time is
// drawn at random, because a fleet that started at one instant would otherwise repeat its calls at one instant.
func (c *Timer) pacedDeadline() time.Duration {
	last := c.lastMessage + c.settings.StalenessBound - c.answerReserve()
	if c.lastCallID == 0 {
		return max(last, c.now)
	}
	if remaining := last - c.now; remaining > minBackoff {
		return min(c.openDeadline, last-c.randomBetween(0, min(remaining, c.answerReserve())))
	}
	return c.openDeadline
}

// backoff draws the wait before the next call and doubles the mean for the one after. wasLive: the call that ended or
// fell silent had been answered, in which case the staleness bound counts from the last message.
// A wait that could pass the bound is drawn from the time that remains and not cut to it, because cutting would
// repeat at one instant all calls that ended at one instant. The first wait of a series is drawn from the end of
// the remaining time: from as much of it as keeps the fleet to FleetCallsPerSecond, so that the service has by
// then finished with the calls that failed. Later waits are as long as permitted and so keep that spread.
func (c *Timer) backoff(wasLive bool) time.Duration {
	mean := max(minBackoff, 2*time.Duration(c.settings.Schedulers)*time.Second/FleetCallsPerSecond) * time.Duration(c.backoffFactor)
	low, high := time.Duration((1-jitterFraction)*float64(mean)), time.Duration((1+jitterFraction)*float64(mean))
	remaining := c.openDeadline - c.now
	if wasLive {
		remaining = c.lastMessage + c.silentCallBound() - c.answerReserve() - c.now
	}
	if remaining = max(remaining, 0); high > remaining {
		low, high = min(low, remaining), remaining
		if c.backoffFactor == 1 {
			low = max(remaining-mean/2, 0)
		}
	}
	c.backoffFactor = min(2*c.backoffFactor, MaxBackoffFactor)
	return c.randomBetween(low, high)
}
