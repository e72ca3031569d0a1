package reply

// HTTP headers between callers, instances and endpoints.
const (
	HeaderCustomer  = "Peridot-Customer"
	HeaderRequestID = "Peridot-Request-Id"
	// HeaderTimeout holds the time left for the request, in milliseconds.
	HeaderTimeout  = "Peridot-Timeout-Ms"
	HeaderOutcome  = "Peridot-Outcome"
	HeaderReason   = "Peridot-Reason"
	HeaderInstance = "Peridot-Instance"
	HeaderAttempts = "Peridot-Attempts"
	HeaderAttempt  = "Peridot-Attempt"
	// HeaderDigest holds the xxhash64 of the answer's body in hex.
	HeaderDigest  = "Peridot-Digest"
	HeaderSlots   = "Peridot-Slots"
	HeaderBusy    = "Peridot-Busy"
	HeaderLeaving = "Peridot-Leaving"
	// HeaderNotRun marks a refusal of an endpoint that proves that the request did not run.
	HeaderNotRun = "Peridot-Not-Run"
)
