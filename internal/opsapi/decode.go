package opsapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"

	"peridotgw.example/peridotgw/reply"
)

// decodeBody decodes the JSON body of a request. An empty body is allowed if optional is true. Unknown
// fields and data after the value are refused.
func decodeBody(req request, into any, optional bool) *reply.Error {
	decoder := json.NewDecoder(bytes.NewReader(req.body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if optional && errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return reply.Refused(reply.ReasonMalformed, "the body has more than one JSON value")
	}
	return nil
}

// bodyError returns the refusal for a body that cannot be decoded.
func bodyError(err error) *reply.Error {
	return reply.Refused(reply.ReasonMalformed, "the body cannot be decoded: %v", err)
}

// checkQuery refuses query parameters that a call does not define, because a misspelt filter would return too much.
func checkQuery(req request, known ...string) *reply.Error {
	for name, values := range req.URL.Query() {
		if !slices.Contains(known, name) {
			return reply.Refused(reply.ReasonMalformed, "query parameter %q does not exist", name)
		}
		if len(values) > 1 {
			return reply.Refused(reply.ReasonMalformed, "query parameter %q is given more than once", name)
		}
	}
	return nil
}
