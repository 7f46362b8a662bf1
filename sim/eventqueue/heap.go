package eventqueue

// arity is the number of children of a node of the heap. Four make it half as deep as two would, and they lie beside each
// other in memory.
const arity = 4

// push adds an event to the heap.
func (q *Queue) push(added event) {
	q.heap = append(q.heap, event{})
	heap := q.heap
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !added.before(heap[parent]) {
			break
		}
		heap[i] = heap[parent]
		i = parent
	}
	heap[i] = added
}

// pop removes the event that comes first. The heap must not be empty.
func (q *Queue) pop() event {
	end := len(q.heap) - 1
	first := q.heap[0]
	last := q.heap[end]
	q.heap[end] = event{} // lets go of the callback
	q.heap = q.heap[:end]
	if end > 0 {
		q.siftDown(last)
	}
	return first
}

// siftDown puts an event in the place that the root left free, and moves it down to where it belongs.
func (q *Queue) siftDown(moved event) {
	heap := q.heap
	i := 0
	for {
		least := arity*i + 1
		if least >= len(heap) {
			break
		}
		for child := least + 1; child < min(arity*(i+1)+1, len(heap)); child++ {
			if heap[child].before(heap[least]) {
				least = child
			}
		}
		if !heap[least].before(moved) {
			break
		}
		heap[i] = heap[least]
		i = least
	}
	heap[i] = moved
}
