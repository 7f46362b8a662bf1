package control

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"otterseam/tier/control/state"
	"otterseam/tier/directory"
	"otterseam/tier/feed"
	"otterseam/tier/multigroup"
	"otterseam/tier/outlier"
)

// verdicts is the primary's work as the judge of hosts. What it knows is its own: a new primary begins anew, and what it finds
// decided lapses after its term at the latest.
type verdicts struct {
	mu    sync.Mutex
	judge *outlier.Detector
	news  bool             // a window has come since the last decision
	ends  map[string]int64 // when the terms of hosts that are set aside end
}

func newVerdicts() *verdicts {
	return &verdicts{judge: outlier.NewDetector(), ends: map[string]int64{}}
}

// begin starts anew, with the terms that are in force.
func (v *verdicts) begin(terms map[string]int64, now int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.judge = outlier.NewDetector()
	v.news = false
	v.ends = map[string]int64{}
	for host, term := range terms {
		v.ends[host] = now + term
	}
}

// take adds what a gateway saw.
func (v *verdicts) take(window outlier.Window, now int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.judge.Add(window, now)
	v.news = true
}

// decide returns the hosts to set aside, if anything has come since the last time, and those whose terms have ended.
func (v *verdicts) decide(fleet func() outlier.Fleet, now int64) (aside []outlier.Ejection, ended []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for host, end := range v.ends {
		if now >= end {
			ended = append(ended, host)
			delete(v.ends, host)
		}
	}
	if !v.news {
		return nil, ended
	}
	v.news = false
	aside = v.judge.Decide(fleet(), now)
	for _, verdict := range aside {
		v.ends[verdict.Host] = now + verdict.DurationMS
	}
	return aside, ended
}

// observed takes a window of a gateway.
func (s *Server) observed(payload []byte) (state.Result, error) {
	window, err := outlier.DecodeWindow(payload)
	if err != nil {
		return state.Result{}, err
	}
	s.verdicts.take(window, multigroup.Now())
	return state.Result{}, nil
}

// judgeHosts sets hosts aside that fail where their peers do not, and takes back what has lapsed.
func (s *Server) judgeHosts(ctx context.Context) {
	aside, ended := s.verdicts.decide(s.fleet, multigroup.Now())
	var commands []state.Command
	for _, verdict := range aside {
		s.log.WithFields(logrus.Fields{"host": verdict.Host, "term_ms": verdict.DurationMS}).Info("host set aside: it fails where its peers do not")
		commands = append(commands, state.EjectHost{ID: verdict.Host, TermMS: verdict.DurationMS})
	}
	for _, host := range ended {
		commands = append(commands, state.ReinstateHost{ID: host})
	}
	s.submitAll(ctx, commands)
}

// fleet is what the judge has to know of the hosts.
func (s *Server) fleet() outlier.Fleet {
	fleet := outlier.Fleet{}
	for id, host := range s.state.Hosts() {
		fleet[host.Service] = append(fleet[host.Service], outlier.Host{ID: id, Zone: host.Zone})
	}
	return fleet
}

// termsInForce lists the hosts that are set aside, with their terms.
func (s *Server) termsInForce() map[string]int64 {
	terms := map[string]int64{}
	for _, item := range s.state.View.All(feed.SectionVerdict) {
		if term, err := directory.DecodeTerm(item.Data); err == nil {
			terms[item.Key] = term
		}
	}
	return terms
}
