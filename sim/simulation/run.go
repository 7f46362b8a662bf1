package simulation

import (
	"otterseam/sim/hostmodel"
	"otterseam/sim/metrics"
)

// halfSecond is subtracted from the time at the end of a second, so that the figures sampled then are recorded for the second that ends.
const halfSecond = 0.5

// Run runs the scenario past its end, until every request is closed, and returns the results.
func (s *Simulation) Run() (*metrics.Results, error) {
	defer s.policies.Close()
	for slot := range s.Gateways {
		s.startGateway(slot)
	}
	if s.err != nil {
		return nil, s.err
	}
	s.Begin()
	s.Queue.Run(s.EndTime())
	if s.err == nil {
		s.err = s.policies.Err()
	}
	if s.err != nil {
		return nil, s.err
	}
	return s.Finish(), nil
}

// Begin starts the customers' requests and schedules the faults, counted from the present time.
func (s *Simulation) Begin() {
	s.BeginWithoutClients()
	s.Workload.Start()
}

// BeginWithoutClients schedules the faults and starts no customers.
func (s *Simulation) BeginWithoutClients() {
	s.Results.StartedAt = s.Queue.Now()
	for i := range s.Day.Faults {
		s.scheduleFault(i, &s.Day.Faults[i])
	}
	s.Queue.ScheduleAfter(1, s.endSecond)
}

// EndTime returns the clock time by which every request is closed.
func (s *Simulation) EndTime() float64 {
	longest := 0.0
	for i := range s.Day.Operations {
		longest = max(longest, s.Day.Operations[i].Timeout.Float())
	}
	return s.Results.StartedAt + s.Day.Length.Float() + longest + 1
}

// Finish completes the results of a run that has ended.
func (s *Simulation) Finish() *metrics.Results {
	results := s.Results
	results.Finish(s.Workload.Customers)
	results.PeerMessages = s.peers.Sent
	results.Events = s.Queue.Fired
	results.ViolationCount = s.Oracle.Total
	results.Violations = s.Oracle.Violations
	work := 0.0
	for _, host := range s.Hosts {
		work += host.BusyTime
	}
	if work > 0 {
		results.WastedWork = max(0, 1-s.usefulWork/work)
	}
	results.Seconds = results.Seconds[:min(len(results.Seconds), int(s.Day.Length.Float())+1)]
	return results
}

// endSecond runs at the end of each second: it samples the figures of that second, reports progress, and stops the run if the policies
// failed.
func (s *Simulation) endSecond() {
	now := s.Queue.Now()
	s.recordSecond(s.Results.SecondAt(now - halfSecond))
	s.Counter.DropExpired()
	if s.progress != nil {
		s.progress(now)
	}
	if s.policies.Err() != nil {
		s.Queue.Stop()
	}
	if now < s.Results.StartedAt+s.Day.Length.Float() {
		s.Queue.ScheduleAfter(1, s.endSecond)
	}
}

func (s *Simulation) recordSecond(second *metrics.Second) {
	for _, gateway := range s.Gateways {
		second.AttemptsInFlight += float64(gateway.AttemptsInFlight())
	}
	cores := 0.0
	for _, host := range s.Hosts {
		if host.State == hostmodel.Down {
			continue
		}
		cores += float64(host.Cores)
		second.CoreUtilization += float64(min(host.Cores, host.Load()))
		second.HostLoad += float64(host.Load())
		second.HostsUp++
	}
	second.CoreUtilization /= max(1, cores)
	second.GatewaysAlive = float64(s.gatewaysAlive)
}
