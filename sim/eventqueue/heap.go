package eventqueue

// arity is the number of children of a heap node. With four children the heap is half as deep as with two, and the children are
// adjacent in memory.
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

// pop removes and returns the first event. The heap must not be empty.
func (q *Queue) pop() event {
	end := len(q.heap) - 1
	first := q.heap[0]
	last := q.heap[end]
	q.heap[end] = event{} // releases the callback for garbage collection
	q.heap = q.heap[:end]
	if end > 0 {
		q.siftDown(last)
	}
	return first
}

// siftDown places an event at the vacant root and moves it down to its position in the heap order.
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
