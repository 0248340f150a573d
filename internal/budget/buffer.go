package budget

import (
	"math/bits"
	"sync"
)

const (
	// The shortest buffer that is used again has 1<<minClass bytes, the longest less than
	// 2<<maxClass.
	minClass = 13
	maxClass = 25
)

// buffers holds buffers that were used for bodies that nobody else has seen, by the class
// of their length. Otherwise bodies that are refused would leave garbage of many times the
// budget.
var buffers [maxClass + 1]sync.Pool

// newBuffer returns an empty buffer for n bytes.
func newBuffer(n int64) []byte {
	class := bits.Len64(uint64(n)) - 1
	if class < minClass || class > maxClass {
		return make([]byte, 0, n)
	}
	if b, ok := buffers[class].Get().(*[]byte); ok {
		if int64(cap(*b)) >= n {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, n)
}

// recycle takes a buffer that nobody else has.
func recycle(b []byte) {
	class := bits.Len64(uint64(cap(b))) - 1
	if class < minClass || class > maxClass {
		return
	}
	b = b[:0]
	buffers[class].Put(&b)
}
