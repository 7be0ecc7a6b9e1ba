package watchtimer

// runTimers carries out everything that is due at the current time.
func (t *Timer) runTimers() {
	for i := range t.calls {
		if t.calls[i].answered {
			t.checkSilence(&t.calls[i])
		}
	}
	if !t.settings.Pushed {
		t.closeUnanswered()
	}
	switch {
	case t.now >= t.nextOpen:
		t.openCall()
	case t.settings.Pushed:
	case t.now >= t.repeatAt:
		t.repeatAt = never
		t.openCall()
	case t.now >= t.openDeadline && !t.currentAddressLive():
		t.openCall()
	}
}

// checkSilence marks an answered call as silent after its silence timeout and sets the time of its replacement. If no call
// is live downReportDelay later, it reports this.
func (t *Timer) checkSilence(k *call) {
	if !k.silent && t.now >= k.lastMessage+t.silenceTimeout() {
		k.silent = true
		if !t.Live() && k.addressGeneration == t.addressGeneration {
			t.replaceSilent(k)
		}
	}
	if k.silent && !t.downReported && !t.Live() && t.now >= k.lastMessage+t.silenceTimeout()+downReportDelay {
		t.downReported = true
		t.emit(ReportDown, 0)
	}
}

// replaceSilent sets the time at which the replacement of a silent call is opened, and the time at which another one is
// opened if the first stays unanswered.
func (t *Timer) replaceSilent(k *call) {
	t.nextOpen = min(t.nextOpen, t.now)
	if t.settings.Pushed {
		return
	}
	t.nextOpen = t.now + t.backoff(true)
	t.repeatAt = k.lastMessage + t.silentCallBound() - t.repeatReserve() - t.randomBetween(0, t.answerReserve())
	t.repeatAt = max(t.repeatAt, t.nextOpen+t.repeatReserve()/2)
}

// closeUnanswered closes the calls whose response timeout has passed. If no other call to the current address is in
// progress, the time of the next call is drawn from the time that remains until openDeadline.
func (t *Timer) closeUnanswered() {
	for i := len(t.calls) - 1; i >= 0; i-- {
		if k := t.calls[i]; k.answered || t.now < k.openedAt+t.responseTimeout() {
			continue
		}
		t.closeCall(i)
		if !t.callInProgress() {
			t.scheduleNextOpen(t.randomBetween(0, max(t.openDeadline-t.now, 0)))
		}
	}
}
