// Package wire carries messages between instances by connect-go, with one CBOR codec for all message types.
package wire
