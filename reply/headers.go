package reply

// HTTP headers between callers, instances and endpoints.
const (
	HeaderCustomer  = "Peridot-Customer"
	HeaderRequestID = "Peridot-Request-Id"
	// HeaderTimeout holds the remaining time of the request in milliseconds.
	HeaderTimeout  = "Peridot-Timeout-Ms"
	HeaderOutcome  = "Peridot-Outcome"
	HeaderReason   = "Peridot-Reason"
	HeaderInstance = "Peridot-Instance"
	// HeaderAttempts holds the number of sends to endpoints, in the answer to a caller.
	HeaderAttempts = "Peridot-Attempts"
	// HeaderAttempt holds the number of one send, in the request to an endpoint and in its answer.
	HeaderAttempt = "Peridot-Attempt"
	// HeaderDigest holds the xxhash64 of the answer's body in hexadecimal.
	HeaderDigest = "Peridot-Digest"
	// HeaderSlots and HeaderBusy hold the total number of an endpoint's slots and the number in use.
	HeaderSlots = "Peridot-Slots"
	HeaderBusy  = "Peridot-Busy"
	// HeaderLeaving is "true" when the endpoint is leaving and takes no new requests.
	HeaderLeaving = "Peridot-Leaving"
	// HeaderNotRun marks an endpoint's refusal as proof that the request did not run.
	HeaderNotRun = "Peridot-Not-Run"
)
