package timeline

// Step is a step in the recovery of a process.
type Step uint8

// The steps, in the order in which a starting tier reaches them. Each role has only some of them.
const (
	ProcessUp           Step = iota + 1 // the process has started
	DiskRead                            // the process has read the data on its disk
	MajorityContacted                   // a majority of the control processes answered
	PrimaryDecided                      // this process was elected primary of control
	PrimaryReady                        // the primary has committed the first entry of its epoch
	ViewReceived                        // the first view has been received from a publisher
	ShardLed                            // the first shard that this store leads accepts commands
	FirstBeginCommitted                 // the first begin of a turn was answered
	FirstRequestSent                    // the first request was sent to a host

	lastStep = FirstRequestSent
)

// names are the names of the steps in logs and in the operators' documentation.
var names = [lastStep + 1]string{
	ProcessUp:           "process-up",
	DiskRead:            "disk-read",
	MajorityContacted:   "majority-contacted",
	PrimaryDecided:      "primary-decided",
	PrimaryReady:        "primary-ready",
	ViewReceived:        "view-received",
	ShardLed:            "shard-led",
	FirstBeginCommitted: "first-begin-committed",
	FirstRequestSent:    "first-request-sent",
}

// isKnown reports whether this version knows the step.
func (s Step) isKnown() bool { return s >= ProcessUp && s <= lastStep }

// String returns the name of the step in logs and documentation.
func (s Step) String() string {
	if !s.isKnown() {
		return "unknown"
	}
	return names[s]
}
