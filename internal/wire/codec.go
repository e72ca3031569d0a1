package wire

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// CodecName is the name of the codec in content types.
const CodecName = "cbor"

// Codec is a connect.Codec that encodes Go values as CBOR. Fields of messages have tags like `cbor:"1,keyasint"`, because integer
// keys keep messages small.
type Codec struct{}

// encMode returns the mode of messages. It encodes times to the microsecond; the library's default drops fractions of a second, and a
// job that is relayed would be due up to a second early.
var encMode = sync.OnceValues(func() (cbor.EncMode, error) { //nolint:gochecknoglobals // built once, never changed
	return cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
})

// Name returns CodecName.
func (Codec) Name() string { return CodecName }

// Marshal encodes message.
func (Codec) Marshal(message any) ([]byte, error) {
	mode, err := encMode()
	if err != nil {
		return nil, eris.Wrap(err, "preparing the encoding")
	}
	data, err := mode.Marshal(message)
	if err != nil {
		return nil, eris.Wrapf(err, "encoding %T", message)
	}
	return data, nil
}

// Unmarshal decodes data into message.
func (Codec) Unmarshal(data []byte, message any) error {
	if err := cbor.Unmarshal(data, message); err != nil {
		return eris.Wrapf(err, "decoding %T", message)
	}
	return nil
}
