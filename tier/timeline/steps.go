package timeline

// Step is a step of recovery.
type Step uint8

// The steps, in the order in which a tier that starts reaches them. Not every role has every step.
const (
	ProcessUp           Step = iota + 1 // the process runs
	DiskRead                            // what its disk holds has been read
	MajorityContacted                   // a majority of the control processes answered
	PrimaryDecided                      // this process was decided to be the primary of control
	PrimaryReady                        // and has committed the entry that opens its epoch
	ViewReceived                        // the first view from a publisher
	ShardLed                            // the first shard that this store leads takes commands
	FirstBeginCommitted                 // the first begin of a turn was answered
	FirstRequestSent                    // the first request was sent to a host

	lastStep = FirstRequestSent
)

// names are those of logs and of the operators' pages.
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

// isKnown tells whether this version knows the step.
func (s Step) isKnown() bool { return s >= ProcessUp && s <= lastStep }

// String is the step's name in logs and on the pages.
func (s Step) String() string {
	if !s.isKnown() {
		return "unknown"
	}
	return names[s]
}
