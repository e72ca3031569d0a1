// Command faults runs the fault matrix: it reads the rows from matrix.jsonc, runs the specs labelled with them, and prints
// one verdict per row. It exits with 1 when a row outside KNOWN-RED.txt is violated.
package main
