// Package gang starts and stops all tasks of a job together: it reserves on every worker, records the decision, and then
// starts on every worker. A gang that cannot be started whole is stopped whole.
package gang
