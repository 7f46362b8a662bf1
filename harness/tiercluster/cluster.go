package tiercluster

import (
	"path/filepath"
	"slices"
	"strings"

	"otterseam/harness/childprocess"
	"otterseam/harness/tierhost"
)

// Machine classes. A machine's name consists of its class and a number.
const (
	frontClass   = "front"
	controlClass = "core"
	storeClass   = "storage"
)

// seedCount is the maximum number of control addresses in the seed list of each process.
const seedCount = 3

// Cluster is a running tier. Only the methods that do nothing but send requests are safe for concurrent use.
type Cluster struct {
	Machines []*Machine
	Hosts    []*tierhost.Host

	options    Options
	hasStarted map[string]bool // by machine name; machines that ran before are started without bootstrap
}

// Start starts all machines except those in options.InitiallyDown.
func Start(options Options) (*Cluster, error) {
	var err error
	if options.Dir, err = filepath.Abs(options.Dir); err != nil {
		return nil, err
	}
	c := &Cluster{options: options, hasStarted: map[string]bool{}}
	c.addMachines(controlClass, options.Controls, "control")
	c.addMachines(storeClass, options.Stores, "store")
	c.addMachines(frontClass, options.Fronts, "agent", "proxy")
	for _, machine := range c.Machines {
		if slices.Contains(options.InitiallyDown, machine.Name) {
			continue
		}
		if err := c.StartMachine(machine); err != nil {
			c.Stop()
			return nil, err
		}
	}
	return c, nil
}

// Stop kills all processes and stand-in hosts.
func (c *Cluster) Stop() {
	for _, host := range c.Hosts {
		host.Stop()
	}
	for _, machine := range c.Machines {
		machine.Kill()
	}
}

func (c *Cluster) addMachines(class string, count int, roles ...string) {
	for i := range count {
		c.addMachine(class, i+1, roles)
	}
}

func (c *Cluster) addMachine(class string, number int, roles []string) *Machine {
	machine := &Machine{
		Name:      machineName(class, number),
		IP:        c.options.ip(len(c.Machines) + 2), // the stand-in hosts use the first address
		roles:     roles,
		processes: map[string]*childprocess.Process{},
	}
	c.Machines = append(c.Machines, machine)
	return machine
}

// Machine returns the machine with the given name, or nil if there is none.
func (c *Cluster) Machine(name string) *Machine {
	for _, machine := range c.Machines {
		if machine.Name == name {
			return machine
		}
	}
	return nil
}

// AddHost starts a stand-in host that reports slots as its number of concurrent requests.
func (c *Cluster) AddHost(id, service string, slots int) (*tierhost.Host, error) {
	host := &tierhost.Host{ID: id, Service: service, Slots: slots, Controls: c.ControlAddresses}
	if err := host.Start(address(c.options.ip(1), 0)); err != nil {
		return nil, err
	}
	c.Hosts = append(c.Hosts, host)
	return host, nil
}

// FrontAddresses returns the addresses to which clients send requests.
func (c *Cluster) FrontAddresses() []string { return c.addresses(frontClass, frontPort) }

// ReadinessAddresses returns the addresses to which the platform sends readiness probes.
func (c *Cluster) ReadinessAddresses() []string { return c.addresses(frontClass, readinessPort) }

// ControlAddresses returns the addresses to which hosts and operators send requests.
func (c *Cluster) ControlAddresses() []string { return c.addresses(controlClass, controlPort) }

// StatusAddresses returns the internal addresses of the control processes, which otterctl status queries.
func (c *Cluster) StatusAddresses() []string {
	return c.addresses(controlClass, c.options.firstInternalPort())
}

func (c *Cluster) addresses(class string, port int) []string {
	var all []string
	for _, machine := range c.Machines {
		if strings.HasPrefix(machine.Name, class+"-") {
			all = append(all, address(machine.IP, port))
		}
	}
	return all
}

func (c *Cluster) seeds() []string {
	controls := c.ControlAddresses()
	return controls[:min(len(controls), seedCount)]
}
