// Package table collects the results of a benchmark and prints them as plain tables or as JSON.
package table
