// Package quota decides whether a tenant may have one more task or gang running, and whose turn it is when room is short. It imports no
// network, timer, log or store: the scheduler notes in a Ledger what runs, and asks a Pass, which sees one planning pass.
package quota
