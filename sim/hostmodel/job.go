package hostmodel

// Job is the work of a request that has arrived in full.
type Job struct {
	Operation int
	Work      float64      // seconds on a core of speed 1
	Gateway   int          // the sender, which the report of an overload names
	OnStart   func()       // called when the job begins to run; it may have its effect from then on
	OnAnswer  func(Answer) // called with the host's answer, if the host answers

	queued    bool
	cancelled bool
}

// Answer is how a host answers a job.
type Answer int

// The answers of a host.
const (
	Succeeded Answer = iota
	Failed
	Rejected  // the job never ran
	Corrupted // the answer cannot be parsed
	Reset     // the host went down while it held the job
)

func (a Answer) String() string {
	return [...]string{"answered", "answered with an error", "turned away", "answered with noise", "reset"}[a]
}

// compactionThreshold is how many unused entries the front of a queue may have before the rest is moved down.
const compactionThreshold = 64

// jobQueue is a first-in, first-out queue. The zero jobQueue is empty.
type jobQueue struct {
	jobs []*Job
	head int // index of the first job
}

func (q *jobQueue) len() int { return len(q.jobs) - q.head }

func (q *jobQueue) waiting() []*Job { return q.jobs[q.head:] }

func (q *jobQueue) push(job *Job) {
	job.queued = true
	q.jobs = append(q.jobs, job)
}

// pop removes and returns the first job. The queue must not be empty. The caller calls compact afterwards.
func (q *jobQueue) pop() *Job {
	job := q.jobs[q.head]
	q.jobs[q.head] = nil
	q.head++
	return job
}

// compact reuses the entries that pop left unused, once there are many.
func (q *jobQueue) compact() {
	switch {
	case q.head == len(q.jobs):
		q.jobs = q.jobs[:0]
		q.head = 0
	case q.head > compactionThreshold && q.head > len(q.jobs)/2:
		q.jobs = append(q.jobs[:0], q.jobs[q.head:]...)
		q.head = 0
	}
}

func (q *jobQueue) remove(job *Job) {
	for i := q.head; i < len(q.jobs); i++ {
		if q.jobs[i] == job {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			job.queued = false
			return
		}
	}
}
