package codec

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxElements is the largest number of elements in a list or map that is read. The library's default is near that of the largest bodies.
const maxElements = 1 << 24

// encMode encodes times to the microsecond; the library's default drops fractions of a second, and a job that is stored or relayed would be
// due up to a second early.
var encMode = sync.OnceValues(func() (cbor.EncMode, error) { //nolint:gochecknoglobals // built once, never changed
	return cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
})

var decMode = sync.OnceValues(func() (cbor.DecMode, error) { //nolint:gochecknoglobals // built once, never changed
	return cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
})

// Marshal encodes a value.
func Marshal(value any) ([]byte, error) {
	mode, err := encMode()
	if err != nil {
		return nil, eris.Wrap(err, "preparing the encoding")
	}
	content, err := mode.Marshal(value)
	return content, eris.Wrapf(err, "encoding %T", value)
}

// Unmarshal decodes content into value, which is a pointer.
func Unmarshal(content []byte, value any) error {
	mode, err := decMode()
	if err != nil {
		return eris.Wrap(err, "preparing the decoding")
	}
	return eris.Wrapf(mode.Unmarshal(content, value), "decoding %T", value)
}
