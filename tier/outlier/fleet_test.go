package outlier

import (
	"fmt"
	"math/rand/v2"
)

// fleet is a simulated fleet: gateways that send requests to hosts, some of which fail, and one detector.
type fleet struct {
	stream        *rand.Rand
	gateways      []*Collector
	zones         int
	pending       []int64 // time at which each gateway flushes its window, 0 for none
	hosts         []string
	sameZone      float64 // probability with which a host of another zone is drawn again
	detector      *Detector
	ejectedUntil  map[string]int64
	now           int64
	requestsPerMS float64 // requests of the fleet per millisecond
	failed        int
	ejectedAt     map[string]int64
}

// windowMS is the time from the first failure of a window to its flush, in milliseconds.
const windowMS = 150

func newFleet(seed uint64, gateways, hosts, zones int, perHost float64) *fleet {
	f := &fleet{
		stream: rand.New(rand.NewPCG(seed, 7)), detector: NewDetector(), ejectedUntil: map[string]int64{}, ejectedAt: map[string]int64{},
		pending: make([]int64, gateways), now: 1 << 20, requestsPerMS: perHost * float64(hosts) / 1000, zones: zones,
	}
	for i := range gateways {
		f.gateways = append(f.gateways, NewCollector(uint64(i+1), fmt.Sprint("z", i%zones)))
	}
	for i := range hosts {
		f.hosts = append(f.hosts, fmt.Sprint("h", i))
	}
	return f
}

// known returns the fleet's hosts as the detector's input.
func (f *fleet) known() Fleet {
	var hosts []Host
	for i, host := range f.hosts {
		hosts = append(hosts, Host{ID: host, Zone: fmt.Sprint("z", i%f.zones)})
	}
	return Fleet{"s": hosts}
}

// run simulates the given number of milliseconds. The function fails reports whether a request of a gateway to a host fails.
func (f *fleet) run(ms int, fails func(gateway, host int) bool) {
	for range ms {
		f.now++
		for range f.requests() {
			f.request(fails)
		}
		f.report()
		if f.now%50 == 0 {
			for _, ejection := range f.detector.Decide(f.known(), f.now) {
				f.ejectedUntil[ejection.Host] = f.now + ejection.DurationMS
				if _, ejected := f.ejectedAt[ejection.Host]; !ejected {
					f.ejectedAt[ejection.Host] = f.now
				}
			}
		}
	}
}

// requests returns the number of requests in the next millisecond.
func (f *fleet) requests() int {
	whole := int(f.requestsPerMS)
	if f.stream.Float64() < f.requestsPerMS-float64(whole) {
		whole++
	}
	return whole
}

// request simulates one request of a random gateway to a random host.
func (f *fleet) request(fails func(gateway, host int) bool) {
	gateway := f.stream.IntN(len(f.gateways))
	host := f.stream.IntN(len(f.hosts))
	for f.sameZone > 0 && host%f.zones != gateway%f.zones && f.stream.Float64() < f.sameZone {
		host = f.stream.IntN(len(f.hosts))
	}
	if f.ejectedUntil[f.hosts[host]] > f.now {
		return // the request goes to another host
	}
	f.gateways[gateway].RecordRequest(f.hosts[host])
	if !fails(gateway, host) {
		return
	}
	f.failed++
	if f.gateways[gateway].RecordFailure(f.hosts[host], ConnectionBroken) {
		f.pending[gateway] = f.now + windowMS
	}
}

// report adds the windows that are due to the detector.
func (f *fleet) report() {
	for i, due := range f.pending {
		if due != 0 && f.now >= due {
			f.pending[i] = 0
			f.detector.Add(f.gateways[i].Flush(), f.now)
		}
	}
}

func (f *fleet) countEjected() (count int) {
	for _, until := range f.ejectedUntil {
		if until > f.now {
			count++
		}
	}
	return count
}
