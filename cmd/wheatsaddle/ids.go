package main

import (
	"os"
	"time"

	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/requestid"
)

// idErrorInterval is the time between two log lines about ids that could not be shared.
const idErrorInterval = time.Second

// shareIDs shares the owned request ids with the other processes that accept from the clients' passed socket. Without the journal
// the process serves, and an id may run again at the other process.
func (s *service) shareIDs(socket string) {
	journal, err := requestid.OpenJournal(os.TempDir(), socket)
	if err != nil {
		s.log.WithFields(operr.Fields(&requestid.JournalError{Folder: os.TempDir(), Err: err})).Error("request ids not shared with the other process")
		return
	}
	s.ids.SetJournal(journal)
	go s.logIDErrors()
}

// logIDErrors logs failed publications until the service ends.
func (s *service) logIDErrors() {
	tick := time.NewTicker(idErrorInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := s.ids.TakeError(); err != nil {
				s.log.WithFields(operr.Fields(&requestid.JournalError{Folder: os.TempDir(), Err: err})).Error("request ids not shared with the other process")
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// registerIDMetrics registers the numbers of owned ids.
func registerIDMetrics(m *metrics.Registry, ids *requestid.Registry) {
	counts := func() requestid.Counts {
		counts, _ := ids.Counts()
		return counts
	}
	m.Gauge(func() float64 { return float64(counts().Owned) }, "request_ids_owned")
	m.Gauge(func() float64 { return float64(counts().Evicted) }, "request_ids_evicted")
	m.Gauge(func() float64 { _, failed := ids.Counts(); return float64(failed) }, "request_ids_unpublished")
}
