package params

import (
	"crypto/rand"
	"time"

	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/model"
)

// Settings are the settings of one instance. A field without a stated default is required.
type Settings struct {
	// Instance names the instance; it is unique in the deployment and stays the same when the instance restarts.
	Instance model.InstanceID `json:"instance"`
	// Incarnation distinguishes this process from earlier ones; it is generated and cannot be set.
	Incarnation model.Incarnation `json:"-"`
	// DataCentre names the data centre of the instance's VM.
	DataCentre model.DataCentreID `json:"data-centre"`
	Listen     Listen             `json:"listen"`
	Advertise  Advertise          `json:"advertise"`
	Store      Store              `json:"store"`
	VMList     VMList             `json:"vm-list"`
	// OperatorTokens lists the operators with their tokens; at least one is required.
	OperatorTokens []Operator `json:"operators"`
	Log            Log        `json:"log"`
	Limits         Limits     `json:"limits"`
	Bounds         Bounds     `json:"bounds"`
}

// Listen holds the addresses that the instance listens on, as IP address and port. Port 0 lets the kernel choose.
type Listen struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// Advertise holds the addresses at which others reach the instance. The default is the listen address, which must then name one
// IP address; with port 0 it is the address that the kernel chose.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Store configures the client of the key-value service.
type Store struct {
	// URL is the base URL, such as "http://10.0.0.5:2379".
	URL string `json:"url"`
	// Timeout bounds each call except watches, which may wait longer; default 2s.
	Timeout model.Duration `json:"timeout"`
}

// VMList configures the client of the platform's VM list.
type VMList struct {
	// URL is the base URL, such as "http://10.0.0.6:8090".
	URL string `json:"url"`
	// PollInterval is the time between polls; default 2s.
	PollInterval model.Duration `json:"every"`
}

// Operator is one operator with its bearer token.
type Operator struct {
	// Name is written into the records of the operator's changes.
	Name string `json:"name"`
	// Token has 16 to 256 printable ASCII characters without spaces.
	Token string `json:"token"`
}

// LogFormat is the format of log lines.
type LogFormat string

// Log formats.
const (
	LogFormatJSON    LogFormat = "json"
	LogFormatConsole LogFormat = "console"
)

// Log configures logging to standard error.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level"`
	// Format is json or console; default json.
	Format LogFormat `json:"format"`
}

// Limits bound the resources that one caller or operator can use, and the time that the instance takes to stop.
type Limits struct {
	// BodyBytes bounds the body of a request; default and maximum 1048576.
	BodyBytes int64 `json:"body-bytes"`
	// HeaderBytes bounds the headers of a request; default 16384.
	HeaderBytes int `json:"header-bytes"`
	// HeaderTimeout bounds the time until the headers of a request are read; default 5s.
	HeaderTimeout model.Duration `json:"header-timeout"`
	// BodyTimeout bounds the time until a whole request is read; default 10s.
	BodyTimeout model.Duration `json:"body-timeout"`
	// IdleTimeout is the time after which a connection without a request is closed; default 1m.
	IdleTimeout model.Duration `json:"idle-timeout"`
	// StopTimeout bounds the whole graceful stop; default 35s.
	StopTimeout model.Duration `json:"stop-timeout"`
	// BalancerDelay is the time from the failing /readyz until the balancer opens no new connections; default 2s.
	BalancerDelay model.Duration `json:"balancer-delay"`
}

// Bounds hold the intervals and timeouts behind the stated bounds; see section 10 of docs/design.md. All instances must have the
// same values.
type Bounds struct {
	// ConfirmationTTL is the time for which a proof that the configuration is current is valid; default and maximum 3s.
	ConfirmationTTL model.Duration `json:"confirmation"`
	// HeadReadInterval is the time between reads of the configuration head; default 1s.
	HeadReadInterval model.Duration `json:"head-read"`
	// ExchangeInterval is the time between messages to each peer; default 500ms.
	ExchangeInterval model.Duration `json:"exchange"`
	// SilenceTimeout is the time without a message from a peer after which the peer counts as unreachable; default 3s.
	SilenceTimeout model.Duration `json:"silence"`
	// Lease is the time to live of the instance's store lease; default 5s.
	Lease model.Duration `json:"lease"`
	// LeaseRenewInterval is the time between renewals of the store lease; default 1.5s.
	LeaseRenewInterval model.Duration `json:"lease-renew"`
	// WorkerLease is the time for which a task runs without a renewal of its lease; default and maximum 15s.
	WorkerLease model.Duration `json:"worker-lease"`
	// WorkerRenewInterval is the time between renewals of the tasks' leases; default 5s.
	WorkerRenewInterval model.Duration `json:"worker-renew"`
	// Reservation is the time until an unused reservation on a worker expires; default 15s.
	Reservation model.Duration `json:"reservation"`
	// ReservationMargin is the minimum time left on the reservations when a start is recorded; default 8s.
	ReservationMargin model.Duration `json:"reservation-margin"`
}

// Limits of settings.
const (
	// MaxRequestTimeout is the longest timeout of a request; the graceful stop must be long enough for it.
	MaxRequestTimeout = 30 * time.Second
	// maxConfirmation keeps the bound that no task starts later than 4 s after its data centre was taken out of service.
	maxConfirmation = model.Duration(3 * time.Second)
	// maxWorkerLease keeps the bound that a gang is stopped within 15 s after it lost a member.
	maxWorkerLease = model.Duration(15 * time.Second)
	// maxBodyBytes is the default and maximum of BodyBytes, and the maximum of HeaderBytes.
	maxBodyBytes = 1 << 20
)

// Default returns settings in which only the fields with a default are set.
func Default() *Settings {
	return &Settings{
		Store:  Store{Timeout: model.Duration(2 * time.Second)},
		VMList: VMList{PollInterval: model.Duration(2 * time.Second)},
		Log:    Log{Level: "info", Format: LogFormatJSON},
		Limits: Limits{
			BodyBytes:     maxBodyBytes,
			HeaderBytes:   16 << 10,
			HeaderTimeout: model.Duration(5 * time.Second),
			BodyTimeout:   model.Duration(10 * time.Second),
			IdleTimeout:   model.Duration(time.Minute),
			StopTimeout:   model.Duration(35 * time.Second),
			BalancerDelay: model.Duration(2 * time.Second),
		},
		Bounds: Bounds{
			ConfirmationTTL:     maxConfirmation,
			HeadReadInterval:    model.Duration(time.Second),
			ExchangeInterval:    model.Duration(500 * time.Millisecond),
			SilenceTimeout:      model.Duration(3 * time.Second),
			Lease:               model.Duration(5 * time.Second),
			LeaseRenewInterval:  model.Duration(1500 * time.Millisecond),
			WorkerLease:         maxWorkerLease,
			WorkerRenewInterval: model.Duration(5 * time.Second),
			Reservation:         model.Duration(15 * time.Second),
			ReservationMargin:   model.Duration(8 * time.Second),
		},
	}
}

// Problem is one problem of a settings file, with line, column, field and message.
type Problem = jsonc.Problem

// Error lists all problems of a settings file.
type Error = jsonc.Error

// Load reads and checks a settings file. It returns an Error with every problem, or an error that names the path when
// the file cannot be read.
func Load(path string) (*Settings, error) {
	document, err := jsonc.Open(path)
	if err != nil {
		return nil, err
	}
	return decodeAndCheck(document)
}

// Parse checks settings from text; path is used in errors only.
func Parse(path string, text []byte) (*Settings, error) {
	document, err := jsonc.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return decodeAndCheck(document)
}

// decodeAndCheck returns the settings of a parsed document with a new incarnation.
func decodeAndCheck(document *jsonc.Document) (*Settings, error) {
	settings := Default()
	document.Decode(settings)
	check := checker{settings: settings, document: document}
	check.checkAll()
	if err := document.Err(); err != nil {
		return nil, err
	}
	settings.Incarnation = model.Incarnation(rand.Text())
	return settings, nil
}

// Tokens returns the name of the operator by token.
func (s *Settings) Tokens() map[string]string {
	tokens := make(map[string]string, len(s.OperatorTokens))
	for _, operator := range s.OperatorTokens {
		tokens[operator.Token] = operator.Name
	}
	return tokens
}
