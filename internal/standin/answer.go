package standin

import (
	"bytes"
	"hash/fnv"
	"io"
)

// answerForm is how the body of an answer looks, about which the platform's pages say nothing.
type answerForm struct {
	size      int  // bytes
	isChunked bool // it comes without its length
}

const (
	usualAnswer = 24      // bytes
	oddAnswerOf = 8       // one message in so many has an answer of another size
	blockSize   = 4 << 10 // of what is written at once
)

// answerSizes are the unusual ones: none, and those beside round numbers, where bounds lie.
var answerSizes = []int{0, 1, 64 << 10, 64<<10 + 1, 256 << 10, 256<<10 + 1, 1 << 20, 1<<20 + 1}

// formOf draws a form for a message, the same for each of its runs.
func formOf(id string) answerForm {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	drawn := hash.Sum32()
	form := answerForm{size: usualAnswer, isChunked: drawn&1 == 1}
	if drawn >>= 1; drawn%oddAnswerOf == 0 {
		form.size = answerSizes[int(drawn/oddAnswerOf)%len(answerSizes)]
	}
	return form
}

// write writes a body of this form.
func (f answerForm) write(out io.Writer) error {
	block := bytes.Repeat([]byte("a"), blockSize)
	for left := f.size; left > 0; left -= blockSize {
		if _, err := out.Write(block[:min(left, blockSize)]); err != nil {
			return err
		}
	}
	return nil
}
