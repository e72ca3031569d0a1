package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// CodecName is the name of the codec in content types.
const CodecName = "cbor"

// Codec is a connect.Codec that encodes Go values as CBOR. Fields of messages have tags like `cbor:"1,keyasint"`, because integer
// keys keep messages small.
type Codec struct{}

// Name returns CodecName.
func (Codec) Name() string { return CodecName }

// Marshal encodes message.
func (Codec) Marshal(message any) ([]byte, error) {
	data, err := cbor.Marshal(message)
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
