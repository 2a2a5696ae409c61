package standin

import (
	"bytes"
	"hash/fnv"
	"io"
)

// responseShape is how the body of an answer looks, about which the platform's pages say nothing.
type responseShape struct {
	size      int  // bytes
	isChunked bool // it comes without its length
}

const (
	usualBodyBytes   = 24      // bytes
	oddBodySizeEvery = 8       // one message in so many has an answer of another size
	blockSize        = 4 << 10 // of what is written at once
)

// oddBodySizes are the unusual ones: none, and those beside round numbers, where bounds lie.
var oddBodySizes = []int{0, 1, 64 << 10, 64<<10 + 1, 256 << 10, 256<<10 + 1, 1 << 20, 1<<20 + 1}

// responseShapeOf draws a form for a message, the same for each of its runs.
func responseShapeOf(id string) responseShape {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	drawn := hash.Sum32()
	form := responseShape{size: usualBodyBytes, isChunked: drawn&1 == 1}
	if drawn >>= 1; drawn%oddBodySizeEvery == 0 {
		form.size = oddBodySizes[int(drawn/oddBodySizeEvery)%len(oddBodySizes)]
	}
	return form
}

// write writes a body of this form.
func (f responseShape) write(out io.Writer) error {
	block := bytes.Repeat([]byte("a"), blockSize)
	for left := f.size; left > 0; left -= blockSize {
		if _, err := out.Write(block[:min(left, blockSize)]); err != nil {
			return err
		}
	}
	return nil
}
