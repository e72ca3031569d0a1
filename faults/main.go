// Command faults is part of peridotgw; see README.md.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "faults: not built yet")
	os.Exit(1)
}
