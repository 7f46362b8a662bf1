package simulation

import "otterseam/sim/gatewaymodel"

// Times of a graceful restart of an api gateway, in seconds.
const (
	restartDown         = 0.5 // between its end and its start
	shutdownLimit       = 5   // for what it holds
	shutdownCheckPeriod = 0.05
)

func (f *fault) killGateways() (end func()) {
	for _, slot := range f.sampleSlots(f.Day.Fleet.Gateways.Int()) {
		f.kill(slot, f.config.Lasts.Float())
	}
	return nil
}

// restartGateways restarts gateways gracefully, one after another.
func (f *fault) restartGateways() (end func()) {
	struck := f.sampleSlots(f.Day.Fleet.Gateways.Int())
	for i, slot := range struck {
		f.Queue.ScheduleAfter(f.config.Lasts.Float()*float64(i)/float64(len(struck)), func() { f.restart(slot) })
	}
	return nil
}

func (f *fault) starveGateways() (end func()) {
	return toggleEach(sample(f, f.Gateways), func(gateway *gatewaymodel.Gateway, begin bool) { gateway.ScaleCPU(f.size, begin) })
}

// kill ends an api gateway without a shutdown and has it back after so many seconds. The load balancer in front notices its death
// later, its return at once.
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
	gateway.Admits = true // not noticed yet
	s.Queue.ScheduleAfter(s.Day.Gateway.FailureNotice.Float(), func() {
		if !gateway.Alive {
			gateway.Admits = false
		}
	})
	s.Queue.ScheduleAfter(downSeconds, func() { s.startGateway(slot) })
}

// restart lets an api gateway end what it holds, then starts it anew.
func (s *Simulation) restart(slot int) {
	if s.KillGateway != nil {
		s.KillGateway(slot, restartDown, true)
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
		s.Queue.ScheduleAfter(restartDown, func() { s.startGateway(slot) })
	}
	check()
}
