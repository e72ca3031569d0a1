package wire

import (
	"net/http"

	"peridotgw.example/peridotgw/internal/codec"
	"peridotgw.example/peridotgw/internal/serve"
)

// contentType is that of all messages between instances.
const contentType = "application/" + CodecName

// Limited returns a handler that passes messages on whose memory, also that of the decoded message, fits into the budget of the server. It
// refuses compressed messages and other protocols of connect with 415: nothing tells what these take before they are decoded.
func Limited(next http.Handler) http.Handler {
	buffered := serve.BufferBodies(MaxMessageBytes, codec.DecodedBytes, next)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		encoding := r.Header.Get("Content-Encoding")
		if encoding != "" && encoding != "identity" || r.Header.Get("Content-Type") != contentType {
			w.Header().Set("Connection", "close")
			http.Error(w, "only messages of the type "+contentType+" without compression are read", http.StatusUnsupportedMediaType)
			return
		}
		buffered.ServeHTTP(w, r)
	})
}
