package wire

import "peridotgw.example/peridotgw/internal/codec"

// CodecName is the name of the codec in content types.
const CodecName = "cbor"

// Codec is a connect.Codec that encodes Go values as CBOR. Fields of messages have tags like `cbor:"1,keyasint"`, because integer
// keys keep messages small.
type Codec struct{}

// Name returns CodecName.
func (Codec) Name() string { return CodecName }

// Marshal encodes message.
func (Codec) Marshal(message any) ([]byte, error) { return codec.Marshal(message) }

// Unmarshal decodes data into message.
func (Codec) Unmarshal(data []byte, message any) error { return codec.Unmarshal(data, message) }
