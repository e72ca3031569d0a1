// Command faults runs the fault matrix: it reads the rows from matrix.jsonc, runs the specs that they name, and prints
// one verdict per row. It exits with 1 when a row outside KNOWN-RED.txt is violated.
package main
