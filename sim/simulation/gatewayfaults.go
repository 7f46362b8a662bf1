package simulation

import "otterseam/sim/gatewaymodel"

// Durations of a graceful restart of an api gateway, in seconds.
const (
	restartDowntime     = 0.5 // from the end of the gateway to its next start
	shutdownLimit       = 5   // for completing the pending invocations
	shutdownCheckPeriod = 0.05
)

func (f *fault) killGateways() (end func()) {
	for _, slot := range f.sampleSlots(f.Day.Fleet.Gateways.Int()) {
		f.kill(slot, f.config.Lasts.Float())
	}
	return nil
}

// restartGateways restarts api gateways gracefully, one after another.
func (f *fault) restartGateways() (end func()) {
	targets := f.sampleSlots(f.Day.Fleet.Gateways.Int())
	for i, slot := range targets {
		f.Queue.ScheduleAfter(f.config.Lasts.Float()*float64(i)/float64(len(targets)), func() { f.restart(slot) })
	}
	return nil
}

func (f *fault) starveGateways() (end func()) {
	return toggleEach(sample(f, f.Gateways), func(gateway *gatewaymodel.Gateway, begin bool) { gateway.ScaleCPU(f.size, begin) })
}

// kill ends an api gateway without a shutdown and restarts it after downSeconds. The load balancer in front detects the failure with a
// delay and the restart at once.
func (s *Simulation) kill(slot int, downSeconds float64) {
	if s.KillGateway != nil {
		s.KillGateway(slot, downSeconds, false)
		return
	}
	gateway := s.Gateways[slot]
	if !gateway.Alive {
		return
	}
	gateway.Kill()
	s.gatewaysAlive--
	gateway.Admits = true // the load balancer has not detected the failure yet
	s.Queue.ScheduleAfter(s.Day.Gateway.FailureNotice.Float(), func() {
		if !gateway.Alive {
			gateway.Admits = false
		}
	})
	s.Queue.ScheduleAfter(downSeconds, func() { s.startGateway(slot) })
}

// restart lets an api gateway complete its pending invocations, then ends it and starts it again.
func (s *Simulation) restart(slot int) {
	if s.KillGateway != nil {
		s.KillGateway(slot, restartDowntime, true)
		return
	}
	gateway := s.Gateways[slot]
	if !gateway.Alive {
		return
	}
	gateway.Admits = false
	deadline := s.Queue.Now() + shutdownLimit
	var check func()
	check = func() {
		if !gateway.Alive {
			return
		}
		if gateway.PendingInvocations() > 0 && s.Queue.Now() < deadline {
			s.Queue.ScheduleAfter(shutdownCheckPeriod, check)
			return
		}
		gateway.Kill()
		s.gatewaysAlive--
		s.Queue.ScheduleAfter(restartDowntime, func() { s.startGateway(slot) })
	}
	check()
}
