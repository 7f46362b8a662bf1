package hostmodel

// Job is work that has arrived whole.
type Job struct {
	Operation int
	Work      float64      // seconds on a core of speed 1
	Gateway   int          // who sent it, for the account of an overload
	OnStart   func()       // called when the job begins to run, and so may have its effect
	OnAnswer  func(Answer) // called with the host's answer, if there is one

	queued    bool
	cancelled bool
}

// Answer is how a host answers a job.
type Answer int

// The answers of a host.
const (
	Succeeded Answer = iota
	Failed
	Rejected  // it never ran
	Corrupted // the answer cannot be read
	Reset     // the host went down with the job
)

func (a Answer) String() string {
	return [...]string{"answered", "answered with an error", "turned away", "answered with noise", "reset"}[a]
}

// compactionThreshold is how many places the front of a queue may leave unused before the rest moves down.
const compactionThreshold = 64

// jobQueue is a first-in, first-out queue. The zero jobQueue is empty.
type jobQueue struct {
	jobs []*Job
	head int // index of the first that waits
}

func (q *jobQueue) len() int { return len(q.jobs) - q.head }

func (q *jobQueue) waiting() []*Job { return q.jobs[q.head:] }

func (q *jobQueue) push(job *Job) {
	job.queued = true
	q.jobs = append(q.jobs, job)
}

// pop takes the first job; the queue must not be empty. compact is due afterwards.
func (q *jobQueue) pop() *Job {
	job := q.jobs[q.head]
	q.jobs[q.head] = nil
	q.head++
	return job
}

// compact gives back the places that pop left unused, once they are many.
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
