package opsapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"

	"peridotgw.example/peridotgw/reply"
)

// decode reads the JSON body of a call. An empty body is allowed where optional is true. Unknown fields and anything after
// the value are refused.
func decode(c call, into any, optional bool) *reply.Error {
	decoder := json.NewDecoder(bytes.NewReader(c.body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if optional && errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return malformed(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return reply.Refused(reply.ReasonMalformed, "the body has more than one JSON value")
	}
	return nil
}

func malformed(err error) *reply.Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return reply.Refused(reply.ReasonTooLarge, "the body is larger than %d bytes", tooLarge.Limit)
	}
	return reply.Refused(reply.ReasonMalformed, "the body cannot be decoded: %v", err)
}

// parameters refuses query parameters that a call does not have, because a misspelt filter would answer too much.
func parameters(c call, known ...string) *reply.Error {
	for name, values := range c.URL.Query() {
		if !slices.Contains(known, name) {
			return reply.Refused(reply.ReasonMalformed, "query parameter %q does not exist", name)
		}
		if len(values) > 1 {
			return reply.Refused(reply.ReasonMalformed, "query parameter %q is given more than once", name)
		}
	}
	return nil
}
