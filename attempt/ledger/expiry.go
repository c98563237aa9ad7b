package ledger

// expiryHeap is a min-heap of entries by the time at which they are forgotten.
type expiryHeap []*entry

// Len implements heap.Interface.
func (b expiryHeap) Len() int { return len(b) }

// Less implements heap.Interface.
func (b expiryHeap) Less(i, j int) bool { return b[i].forgetAt < b[j].forgetAt }

// Swap implements heap.Interface.
func (b expiryHeap) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *expiryHeap) Push(x any) { *b = append(*b, x.(*entry)) }

// Pop implements heap.Interface.
func (b *expiryHeap) Pop() any {
	old := *b
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*b = old[:len(old)-1]
	return last
}
