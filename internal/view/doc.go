// Package view defines what a scheduling decision sees, as plain data, and what it returns. A Snapshot is built by the scheduler for one
// planning pass; a decision reads it, and the scheduler carries out what it returns. Decisions stand in packages of their own that import
// no network, timer, log or store, so that a test can hand them any fleet.
package view
