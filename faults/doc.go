// Command faults runs the fault matrix: it reads the rows from matrix.jsonc, runs the specs that they reference, and prints
// a verdict for each row. It exits with 1 when a row that is not listed in KNOWN-RED.txt is violated.
package main
