package standin

import (
	"bytes"
	"hash/fnv"
	"io"
)

// responseShape is the size and framing of a response body, which the platform's documents leave open.
type responseShape struct {
	size      int  // bytes
	isChunked bool // sent without a Content-Length
}

const (
	usualBodyBytes   = 24
	oddBodySizeEvery = 8       // one message in so many has a response of another size
	blockSize        = 4 << 10 // bytes per write
)

// oddBodySizes are the unusual sizes: empty, and at and just above round numbers, where limits are likely.
var oddBodySizes = []int{0, 1, 64 << 10, 64<<10 + 1, 256 << 10, 256<<10 + 1, 1 << 20, 1<<20 + 1}

// responseShapeOf draws the shape for a message; it is the same for each run of the message.
func responseShapeOf(id string) responseShape {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	drawn := hash.Sum32()
	shape := responseShape{size: usualBodyBytes, isChunked: drawn&1 == 1}
	if drawn >>= 1; drawn%oddBodySizeEvery == 0 {
		shape.size = oddBodySizes[int(drawn/oddBodySizeEvery)%len(oddBodySizes)]
	}
	return shape
}

// write writes a body of this shape.
func (f responseShape) write(out io.Writer) error {
	block := bytes.Repeat([]byte("a"), blockSize)
	for left := f.size; left > 0; left -= blockSize {
		if _, err := out.Write(block[:min(left, blockSize)]); err != nil {
			return err
		}
	}
	return nil
}
