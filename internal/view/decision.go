package view

// Reason says in a few words why a decision was made; operators read it in the log.
type Reason string

// Stop is a run to be stopped. The decision names each member of a gang.
type Stop struct {
	Run RunRef
}

// Claim holds room on a worker for a number of tasks of a stage.
type Claim struct {
	Worker WorkerRef
	Tasks  int
}

// Refusal says why a stage gets no room now.
type Refusal struct {
	Reason Reason
}
