// Command peridotctl is part of peridotgw; see README.md.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "peridotctl: not built yet")
	os.Exit(1)
}
