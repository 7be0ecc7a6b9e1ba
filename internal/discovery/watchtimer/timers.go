package watchtimer

// runTimers does what is due at the current time.
func (c *Timer) runTimers() {
	for i := range c.calls {
		if c.calls[i].answered {
			c.checkSilence(&c.calls[i])
		}
	}
	if !c.settings.Pushed {
		c.closeUnanswered()
	}
	switch {
	case c.now >= c.nextOpen:
		c.openCall()
	case c.settings.Pushed:
	case c.now >= c.repeatAt:
		c.repeatAt = never
		c.openCall()
	case c.now >= c.openDeadline && !c.currentAddressLive():
		c.openCall()
	}
}

// checkSilence marks an answered call as silent after its silence timeout, sets the time of its replacement, and
// reports the list as down when no call has become live within downReportDelay.
func (c *Timer) checkSilence(k *call) {
	if !k.silent && c.now >= k.lastMessage+c.silenceTimeout() {
		k.silent = true
		if !c.Live() && k.addressGeneration == c.addressGeneration {
			c.replaceSilent(k)
		}
	}
	if k.silent && !c.downReported && !c.Live() && c.now >= k.lastMessage+c.silenceTimeout()+downReportDelay {
		c.downReported = true
		c.emit(ReportDown, 0)
	}
}

// replaceSilent sets when the replacement of a silent call is opened, and when it is repeated if unanswered.
func (c *Timer) replaceSilent(k *call) {
	c.nextOpen = min(c.nextOpen, c.now)
	if c.settings.Pushed {
		return
	}
	c.nextOpen = c.now + c.backoff(true)
	c.repeatAt = k.lastMessage + c.silentCallBound() - c.repeatReserve() - c.randomBetween(0, c.answerReserve())
	c.repeatAt = max(c.repeatAt, c.nextOpen+c.repeatReserve()/2)
}

// closeUnanswered closes the calls past their response timeout. If no other call at the current address is in
// progress, the next one is drawn from the time that remains until the open deadline.
func (c *Timer) closeUnanswered() {
	for i := len(c.calls) - 1; i >= 0; i-- {
		if k := c.calls[i]; k.answered || c.now < k.openedAt+c.responseTimeout() {
			continue
		}
		c.closeCall(i)
		if !c.callInProgress() {
			c.scheduleNextOpen(c.randomBetween(0, max(c.openDeadline-c.now, 0)))
		}
	}
}
