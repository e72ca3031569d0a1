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
	// DataCentre names the data centre that the instance's VM is in.
	DataCentre model.DataCentreID `json:"data-centre"`
	Listen     Listen             `json:"listen"`
	Advertise  Advertise          `json:"advertise"`
	Store      Store              `json:"store"`
	VMList     VMList             `json:"vm-list"`
	// OperatorTokens admit operators; at least one is required.
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

// Advertise holds the addresses that others reach the instance at. The default is the listen address, which must then
// name one IP address; with port 0 it is the address that the kernel chose.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// Store tells where the key-value service is.
type Store struct {
	// URL is the base URL, such as "http://10.0.0.5:2379".
	URL string `json:"url"`
	// Timeout bounds each call, watches excepted; default 2s.
	Timeout model.Duration `json:"timeout"`
}

// VMList tells where the platform's VM list is.
type VMList struct {
	// URL is the base URL, such as "http://10.0.0.6:8090".
	URL string `json:"url"`
	// Every is the time between polls; default 2s.
	Every model.Duration `json:"every"`
}

// Operator is one operator with its bearer token.
type Operator struct {
	// Name is written into the records of the operator's changes.
	Name string `json:"name"`
	// Token has 16 to 256 printable ASCII characters without spaces.
	Token string `json:"token"`
}

// LogFormat tells how log lines are written.
type LogFormat string

// Log formats.
const (
	LogFormatJSON    LogFormat = "json"
	LogFormatConsole LogFormat = "console"
)

// Log says what is logged to standard error.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `json:"level"`
	// Format is json or console; default json.
	Format LogFormat `json:"format"`
}

// Limits bound what one caller or operator can take up, and the stop of the instance.
type Limits struct {
	// BodyBytes bounds the body of a request; default and maximum 1048576.
	BodyBytes int64 `json:"body-bytes"`
	// HeaderBytes bounds the headers of a request; default 16384.
	HeaderBytes int `json:"header-bytes"`
	// HeaderTimeout bounds the time until the headers of a request are read; default 5s.
	HeaderTimeout model.Duration `json:"header-timeout"`
	// BodyTimeout bounds the time until a whole request is read; default 10s.
	BodyTimeout model.Duration `json:"body-timeout"`
	// IdleTimeout closes connections that carry no request; default 1m.
	IdleTimeout model.Duration `json:"idle-timeout"`
	// StopTimeout bounds the whole graceful stop; default 35s.
	StopTimeout model.Duration `json:"stop-timeout"`
	// BalancerDelay is the time from failing /readyz until the balancer sends no new connections; default 2s.
	BalancerDelay model.Duration `json:"balancer-delay"`
}

// Bounds hold the times behind the stated bounds; see section 10 of docs/design.md. All instances must have the same.
type Bounds struct {
	// Confirmation is how long a proof that the configuration is current lasts; default and maximum 3s.
	Confirmation model.Duration `json:"confirmation"`
	// HeadRead is the time between reads of the configuration head; default 1s.
	HeadRead model.Duration `json:"head-read"`
	// Exchange is the time between messages to each peer; default 500ms.
	Exchange model.Duration `json:"exchange"`
	// Silence is how long a peer may be silent before it counts as not heard; default 3s.
	Silence model.Duration `json:"silence"`
	// Lease is the time to live of the instance's store lease; default 5s.
	Lease model.Duration `json:"lease"`
	// LeaseRenew is the time between renewals of the store lease; default 1.5s.
	LeaseRenew model.Duration `json:"lease-renew"`
	// WorkerLease is the time that a task runs on without a renewal; default and maximum 15s.
	WorkerLease model.Duration `json:"worker-lease"`
	// WorkerRenew is the time between renewals of the tasks' leases; default 5s.
	WorkerRenew model.Duration `json:"worker-renew"`
	// Reservation is the time until an unused reservation on a worker expires; default 15s.
	Reservation model.Duration `json:"reservation"`
	// ReservationMargin is the least time left with which a start is recorded; default 8s.
	ReservationMargin model.Duration `json:"reservation-margin"`
}

// Values that checks compare with.
const (
	// MaxRequestTimeout is the longest deadline of a request; the graceful stop has to cover it.
	MaxRequestTimeout = 30 * time.Second
	// maxConfirmation keeps the promise that no task starts 4 s after its data centre was taken out of service.
	maxConfirmation = model.Duration(3 * time.Second)
	// maxWorkerLease keeps the promise that a gang is stopped 15 s after it lost a member.
	maxWorkerLease = model.Duration(15 * time.Second)
	maxBodyBytes   = 1 << 20
)

// Default returns settings with all defaults and nothing else.
func Default() *Settings {
	return &Settings{
		Store:  Store{Timeout: model.Duration(2 * time.Second)},
		VMList: VMList{Every: model.Duration(2 * time.Second)},
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
			Confirmation:      maxConfirmation,
			HeadRead:          model.Duration(time.Second),
			Exchange:          model.Duration(500 * time.Millisecond),
			Silence:           model.Duration(3 * time.Second),
			Lease:             model.Duration(5 * time.Second),
			LeaseRenew:        model.Duration(1500 * time.Millisecond),
			WorkerLease:       maxWorkerLease,
			WorkerRenew:       model.Duration(5 * time.Second),
			Reservation:       model.Duration(15 * time.Second),
			ReservationMargin: model.Duration(8 * time.Second),
		},
	}
}

// Problem is one fault of a settings file, with line, column, field and message.
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
	return load(document)
}

// Parse checks settings from text; path is used in errors only.
func Parse(path string, text []byte) (*Settings, error) {
	document, err := jsonc.Parse(path, text)
	if err != nil {
		return nil, err
	}
	return load(document)
}

func load(document *jsonc.Document) (*Settings, error) {
	settings := Default()
	document.Decode(settings)
	check := checker{settings: settings, document: document}
	check.all()
	if err := document.Err(); err != nil {
		return nil, err
	}
	settings.Incarnation = model.Incarnation(rand.Text())
	return settings, nil
}

// Tokens returns the operator's name for each token.
func (s *Settings) Tokens() map[string]string {
	tokens := make(map[string]string, len(s.OperatorTokens))
	for _, operator := range s.OperatorTokens {
		tokens[operator.Token] = operator.Name
	}
	return tokens
}
