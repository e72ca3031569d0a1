package codec_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/codec"
)

// Guards against small messages that take far more memory once they are decoded than was counted, and against texts that count as elements.
func TestDecodedBytes(t *testing.T) {
	g := NewWithT(t)
	const maps = 1000
	empty, err := cbor.Marshal(make([]struct{}, maps))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(empty)).To(BeNumerically("<", 2*maps))
	g.Expect(codec.DecodedBytes(empty)).To(BeNumerically(">=", 512*maps))
	text, err := cbor.Marshal(map[string]any{"a": string(bytes.Repeat([]byte{0xa0}, 100*maps)), "b": bytes.Repeat([]byte{0xa0}, 100*maps)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(codec.DecodedBytes(text)).To(BeNumerically("<", 1000))
	g.Expect(codec.DecodedBytes(empty[:1])).To(BeNumerically("<", 1000), "malformed")
	g.Expect(codec.DecodedBytes([]byte{0x5f, 0x41, 'x', 0xff, 0xa0})).To(BeNumerically(">=", 512), "a map behind a text of unknown length")
	g.Expect(codec.DecodedBytes([]byte{0x7b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})).To(BeNumerically("<", 1000), "a text without end")
}
