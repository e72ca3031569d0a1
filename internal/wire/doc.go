// Package wire implements calls between instances with connect-go and one CBOR codec for all message types.
package wire
