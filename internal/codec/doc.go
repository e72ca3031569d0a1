// Package codec encodes stored records and the messages between instances as CBOR.
package codec
