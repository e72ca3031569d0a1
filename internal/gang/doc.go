// Package gang starts and stops all tasks of a job together: it reserves capacity on every worker, records the decision, and
// then starts the tasks. If one task cannot be started, all tasks of the gang are stopped.
package gang
