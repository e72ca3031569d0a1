// Package leave decides what happens to the work on workers that leave: whether a run, or all runs of a gang together, go on to their end,
// go on until just before and stop then, or stop at once. It sees plain data and makes no calls.
package leave
